package peerapi

import (
	"math"

	"egretline.example/egretline/internal/decide/zoneshare"
)

// ServiceLoads is the section of a report about demand and capacity.
type ServiceLoads struct {
	Services map[string]ServiceLoad `json:"services,omitempty"`
}

// ServiceLoad is the wire format of the load of one service.
type ServiceLoad struct {
	// Demand and Slots are those of zoneshare.Load.
	Demand float64 `json:"demand"`
	Slots  float64 `json:"slots"`
}

// LoadsMessage converts the loads of services to their wire format.
func LoadsMessage(loads map[string]zoneshare.Load) *ServiceLoads {
	m := &ServiceLoads{Services: make(map[string]ServiceLoad, len(loads))}
	for name, l := range loads {
		m.Services[name] = ServiceLoad{Demand: math.Round(l.Demand*loadResolution) / loadResolution, Slots: l.Slots}
	}
	return m
}

// loadResolution is the number of steps of a slot in which demand is reported.
const loadResolution = 10

// Loads converts the message to the loads of services. Negative values, which a faulty sender may report, count as zero.
func (m *ServiceLoads) Loads() map[string]zoneshare.Load {
	loads := make(map[string]zoneshare.Load, len(m.Services))
	for name, l := range m.Services {
		loads[name] = zoneshare.Load{Demand: max(0, l.Demand), Slots: max(0, l.Slots)}
	}
	return loads
}
