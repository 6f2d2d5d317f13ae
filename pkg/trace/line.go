package trace

import (
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// eventLine is the JSON form of an event in a trace file.
type eventLine struct {
	At               time.Time       `json:"at"`
	Kind             Kind            `json:"kind"`
	Service          string          `json:"service,omitempty"`
	Address          string          `json:"address,omitempty"`
	Request          string          `json:"request,omitempty"`
	Evidence         fleet.Evidence  `json:"evidence,omitempty"`
	LatencyMS        float64         `json:"latency-ms,omitempty"`
	Leaving          bool            `json:"leaving,omitempty"`
	Peer             string          `json:"peer,omitempty"`
	AvailabilityZone string          `json:"availability-zone,omitempty"`
	Excess           float64         `json:"excess,omitempty"`
	AgeMS            float64         `json:"age-ms,omitempty"`
	Definition       *definitionLine `json:"definition,omitempty"`
}

type definitionLine struct {
	Preference  fleet.Preference `json:"preference"`
	Floor       int              `json:"floor"`
	ColdStartMS float64          `json:"cold-start-ms"`
	Servers     []serverLine     `json:"servers"`
}

type serverLine struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
}

func toLine(e Event) eventLine {
	l := eventLine{
		At: e.At, Kind: e.Kind, Service: e.Service, Address: e.Address, Request: e.Request, Evidence: e.Evidence,
		LatencyMS: toMilliseconds(e.Latency), Leaving: e.Leaving, Peer: e.Peer, AvailabilityZone: e.AvailabilityZone,
		Excess: e.Excess, AgeMS: toMilliseconds(e.Age),
	}
	if e.Kind == Defined {
		d := e.Definition
		l.Definition = &definitionLine{Preference: d.Preference, Floor: d.Floor, ColdStartMS: toMilliseconds(d.ColdStart)}
		for _, s := range d.Servers {
			l.Definition.Servers = append(l.Definition.Servers, serverLine(s))
		}
	}
	return l
}

func toEvent(l eventLine) Event {
	e := Event{
		At: l.At, Kind: l.Kind, Service: l.Service, Address: l.Address, Request: l.Request, Evidence: l.Evidence,
		Latency: fromMilliseconds(l.LatencyMS), Leaving: l.Leaving, Peer: l.Peer, AvailabilityZone: l.AvailabilityZone,
		Excess: l.Excess, Age: fromMilliseconds(l.AgeMS),
	}
	if l.Definition != nil {
		d := l.Definition
		e.Definition = Definition{Preference: d.Preference, Floor: d.Floor, ColdStart: fromMilliseconds(d.ColdStartMS)}
		for _, s := range d.Servers {
			e.Definition.Servers = append(e.Definition.Servers, Server(s))
		}
	}
	return e
}

func toMilliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

func fromMilliseconds(ms float64) time.Duration {
	return time.Duration(ms*1000+0.5) * time.Microsecond
}
