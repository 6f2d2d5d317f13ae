package speed

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func observed(ratios ...float64) *Server {
	s := &Server{}
	for _, ratio := range ratios {
		s.Observe(ratio, start)
	}
	return s
}

func assertSlowness(t *testing.T, s *Server, after time.Duration, low, high float64) {
	t.Helper()
	if got := s.Slowness(start.Add(after)); got < low || got > high {
		t.Errorf("slowness %.2f; want %.2f to %.2f", got, low, high)
	}
}

// Guards against estimates that follow a single long request, that take dozens of requests to notice a slow server, or that
// keep a server out of use for good.
func TestServer(t *testing.T) {
	t.Run("an unknown server is average", func(t *testing.T) { assertSlowness(t, &Server{}, 0, 1, 1) })
	t.Run("one long request says little", func(t *testing.T) { assertSlowness(t, observed(1, 1, 1, 7), 0, 1.05, 1.45) })
	t.Run("some long requests in a row show a slow server", func(t *testing.T) { assertSlowness(t, observed(3, 3, 3, 3), 0, 1.5, 2.5) })
	t.Run("a fast server is known after a dozen", func(t *testing.T) {
		assertSlowness(t, observed(.5, .5, .5, .5, .5, .5, .5, .5, .5, .5, .5, .5), 0, 0.5, 0.75)
	})
	t.Run("the estimate returns to an average server", func(t *testing.T) {
		assertSlowness(t, observed(4, 4, 4, 4, 4, 4), 0, 2, 4)
		assertSlowness(t, observed(4, 4, 4, 4, 4, 4), 20*time.Second, 1, 1.2)
	})
}

// Guards against a typical latency that a few very long requests or one route's mix of requests distort.
func TestTypical(t *testing.T) {
	is := is.New(t)
	var typical Typical
	is.Equal(typical.Ratio(time.Second), 1.0)
	for k := range 300 {
		latency := 100 * time.Millisecond
		if k%30 == 0 {
			latency *= 10
		}
		typical.Observe(latency)
	}
	ratio := typical.Ratio(100 * time.Millisecond)
	is.True(ratio > 0.85 && ratio <= 1)
}
