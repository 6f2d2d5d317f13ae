// Package speed estimates how fast a backend server is, compared with the other servers of its service. It answers loads in
// which servers differ in speed, turn slow for some seconds, or have just started: an equal share of the requests would
// then take longest at the slowest servers.
package speed

import (
	"math"
	"time"
)

const (
	// typicalGain is the weight of one request in the typical latency of its route. Some dozens of requests settle it, so
	// that it does not follow a single server.
	typicalGain = 1.0 / 32
	// gain is the weight of one request in the slowness of a server. A slow request counts at once for half of what it
	// was slower: the latency of a server that turns slow rises faster than its requests complete.
	gain     = 1.0 / 8
	peakGain = 1.0 / 2
	// maxRatio bounds the effect of one request, since one in thirty takes several times as long on any server.
	maxRatio = 4.0
	// memory is the time constant with which an estimate returns to that of an average server. A server that gets no
	// requests because it was slow is tried again after some seconds.
	memory = 6 * time.Second
	// averageWeight is the number of requests that the assumption of an average server counts for. The estimate from few
	// requests is uncertain.
	averageWeight = 3.0
)

// Typical is the typical latency of the requests of a route at servers with little load. The zero value is unknown.
type Typical struct {
	// LogMean is the mean of the logarithm of the latency in seconds, which a few very long requests hardly change.
	LogMean float64
	Count   int
}

// Observe records the latency of a request at a server with little load.
func (t *Typical) Observe(latency time.Duration) {
	t.Count++
	t.LogMean += max(typicalGain, 1/float64(t.Count)) * (logSeconds(latency) - t.LogMean)
}

// Ratio returns the ratio of the latency to the typical one.
func (t *Typical) Ratio(latency time.Duration) float64 {
	if t.Count == 0 {
		return 1
	}
	return math.Exp(logSeconds(latency) - t.LogMean)
}

func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, time.Microsecond).Seconds())
}

// Server is the speed of one backend server as seen by this node. The zero value is an average server.
type Server struct {
	// Ratio is the peak-sensitive moving average of the latency in relation to the typical one, from Weight requests, as
	// of Updated.
	Ratio   float64
	Weight  float64
	Updated time.Time
}

// Observe records a request that took the given ratio of the typical latency.
func (s *Server) Observe(ratio float64, now time.Time) {
	ratio = min(ratio, maxRatio)
	if s.Weight == 0 {
		s.Ratio = 1
	}
	s.Weight = s.Weight*s.decay(now) + 1
	g := gain
	if ratio > s.Ratio {
		g = peakGain * gain * ratio
	}
	s.Ratio += min(g, peakGain) * (ratio - s.Ratio)
	s.Updated = now
}

// Slowness returns the expected latency of a request at the server, in relation to an average server.
func (s *Server) Slowness(now time.Time) float64 {
	weight := s.Weight * s.decay(now)
	return (s.Ratio*weight + averageWeight) / (weight + averageWeight)
}

func (s *Server) decay(now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(s.Updated).Seconds()) / memory.Seconds())
}
