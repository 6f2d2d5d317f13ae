package admission

import (
	"fmt"
	"testing"
)

// poolOf returns ten servers with a free slot, changed by the function.
func poolOf(change func(n int, s *Server)) []Server {
	servers := make([]Server, 10)
	for n := range servers {
		servers[n] = Server{Address: fmt.Sprint("s", n), Limit: NewLimit(4, 1)}
		change(n, &servers[n])
	}
	return servers
}

// assertChosen fails unless between least and most of 1,000 requests go to the first server.
func assertChosen(t *testing.T, servers []Server, least, most int) {
	t.Helper()
	count := 0
	for k := range 1000 {
		if Choose(servers, fmt.Sprint("r", k), nil) == 0 {
			count++
		}
	}
	if count < least || count > most {
		t.Errorf("%d of 1,000 requests go to the first server; want %d to %d", count, least, most)
	}
}

// The load: servers of one service differ in speed, connections and what is known about them. Guards against requests that
// wait longest at the slowest servers, against a new connection for each request, and against servers that are never tried.
func TestChoose(t *testing.T) {
	first := func(change func(s *Server)) []Server {
		return poolOf(func(n int, s *Server) {
			if n == 0 {
				change(s)
			}
		})
	}
	t.Run("equal servers get equal shares", func(t *testing.T) {
		assertChosen(t, first(func(*Server) {}), 70, 130)
	})
	t.Run("a slow server gets no request while another is free", func(t *testing.T) {
		assertChosen(t, first(func(s *Server) { s.Slowness = 2 }), 0, 0)
	})
	t.Run("a slow server gets requests once the others have more outstanding", func(t *testing.T) {
		servers := poolOf(func(n int, s *Server) { s.Outstanding, s.Slowness = min(n, 1)*2, 1 })
		servers[0].Slowness = 2
		assertChosen(t, servers, 1000, 1000)
	})
	t.Run("the warmest of equal servers is preferred", func(t *testing.T) {
		servers := poolOf(func(n int, s *Server) { s.Warmth = min(n, 1) })
		servers[0].Warmth = 2
		assertChosen(t, servers, 1000, 1000)
	})
	t.Run("a warm server with more outstanding is not", func(t *testing.T) {
		assertChosen(t, first(func(s *Server) { s.Warmth, s.Outstanding = 2, 1 }), 0, 0)
	})
	t.Run("a server on probation keeps its odds beside warm ones", func(t *testing.T) {
		servers := poolOf(func(n int, s *Server) { s.Warmth, s.Probation = min(n, 1), n == 0 })
		assertChosen(t, servers, 70, 130)
	})
	t.Run("a server that is due goes first", func(t *testing.T) {
		servers := poolOf(func(n int, s *Server) { s.Warmth, s.Due = min(n, 1), n == 0 })
		assertChosen(t, servers, 1000, 1000)
	})
}
