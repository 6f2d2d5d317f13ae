package trace

import (
	"time"

	"egretline.example/egretline/pkg/fleet"
)

// line is the form of an event in a file.
type line struct {
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
	Definition       *lineDefinition `json:"definition,omitempty"`
}

type lineDefinition struct {
	Preference  fleet.Preference `json:"preference"`
	Floor       int              `json:"floor"`
	ColdStartMS float64          `json:"cold-start-ms"`
	Servers     []lineServer     `json:"servers"`
}

type lineServer struct {
	Address          string `json:"address"`
	AvailabilityZone string `json:"availability-zone"`
}

func fromEvent(e Event) line {
	l := line{
		At: e.At, Kind: e.Kind, Service: e.Service, Address: e.Address, Request: e.Request, Evidence: e.Evidence,
		LatencyMS: milliseconds(e.Latency), Leaving: e.Leaving, Peer: e.Peer, AvailabilityZone: e.AvailabilityZone,
		Excess: e.Excess, AgeMS: milliseconds(e.Age),
	}
	if e.Kind == Defined {
		d := e.Definition
		l.Definition = &lineDefinition{Preference: d.Preference, Floor: d.Floor, ColdStartMS: milliseconds(d.ColdStart)}
		for _, s := range d.Servers {
			l.Definition.Servers = append(l.Definition.Servers, lineServer(s))
		}
	}
	return l
}

func toEvent(l line) Event {
	e := Event{
		At: l.At, Kind: l.Kind, Service: l.Service, Address: l.Address, Request: l.Request, Evidence: l.Evidence,
		Latency: duration(l.LatencyMS), Leaving: l.Leaving, Peer: l.Peer, AvailabilityZone: l.AvailabilityZone,
		Excess: l.Excess, Age: duration(l.AgeMS),
	}
	if l.Definition != nil {
		d := l.Definition
		e.Definition = Definition{Preference: d.Preference, Floor: d.Floor, ColdStart: duration(d.ColdStartMS)}
		for _, s := range d.Servers {
			e.Definition.Servers = append(e.Definition.Servers, Server(s))
		}
	}
	return e
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

func duration(ms float64) time.Duration {
	return time.Duration(ms*1000+0.5) * time.Microsecond
}
