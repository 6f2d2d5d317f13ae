package admission

import (
	"cmp"
	"slices"
)

// Server describes a backend server that is a candidate for a request.
type Server struct {
	Address     string
	Outstanding int
	Limit       Limit
	// TrialDue reports whether the server is ejected and due for a trial request.
	TrialDue bool
	// BreakerOpen reports whether the server's circuit breaker is open after a recent failure. Any other server is
	// preferred.
	BreakerOpen bool
	// LoadPenalty is added to Outstanding when servers are compared. It is a penalty in outstanding requests for a
	// server that is less suitable than others.
	LoadPenalty int
	// Slowness is the expected latency at the server, in relation to an average server; zero means that of an average one.
	Slowness float64
	// Warmth is how well an idle connection to the server suits the request; zero means that there is none. Of equally good
	// servers the warmest is preferred, so that a node uses no more servers than its load needs.
	Warmth int
	// Due reports whether the server should get this request because it was not used for some time. It is preferred to all
	// equally good servers.
	Due bool
	// Probation reports whether the server's circuit breaker is half-open. Its odds are those of a server chosen at random
	// from the equally good ones, so that it is tried although others have warm connections.
	Probation bool
}

// similarCost is the ratio of expected latencies up to which two servers are equally good. Estimates from some requests
// differ by more than that between equal servers.
const similarCost = 1.5

// HasCapacity reports whether the server's concurrency limit allows one more request.
func HasCapacity(s Server) bool {
	return s.Limit.Allows(s.Outstanding)
}

// Choose returns the index of the server for a request, or -1 if the request has to wait. A server that is due for a
// trial request goes first; callers omit such servers for requests that cannot be used as a trial. Otherwise Choose
// returns a free server that was not tried, with the shortest expected latency: the outstanding requests, counting the new
// one, times the slowness of the server. Of servers that are about as good and have no more outstanding requests, one that
// is due or has a warm connection is preferred. The server of the last attempt is returned only if it is the
// only candidate. Ties are broken by a hash of request and address; otherwise the nodes of a group would all prefer the same
// servers.
func Choose(servers []Server, request string, tried []string) int {
	best := -1
	for n, s := range servers {
		if !isEligible(s, servers, tried) {
			continue
		}
		if s.TrialDue {
			return n
		}
		if best < 0 || compareCost(s, servers[best], tried) < 0 {
			best = n
		}
	}
	if best < 0 {
		return -1
	}
	random, preferred := best, best
	for n, s := range servers {
		if !isEligible(s, servers, tried) || !isSimilar(s, servers[best], tried) {
			continue
		}
		if hasLowerHash(s, servers[random], request) {
			random = n
		}
		if isPreferred(s, servers[preferred], request) {
			preferred = n
		}
	}
	if servers[random].Probation {
		return random
	}
	return preferred
}

func isEligible(s Server, servers []Server, tried []string) bool {
	return HasCapacity(s) && (len(servers) == 1 || lastTried(tried) != s.Address)
}

func lastTried(tried []string) string {
	if len(tried) == 0 {
		return ""
	}
	return tried[len(tried)-1]
}

// compareCost compares what speaks against the servers, the most important first.
func compareCost(a, b Server, tried []string) int {
	return cmp.Or(
		compareFlags(slices.Contains(tried, a.Address), slices.Contains(tried, b.Address)),
		compareFlags(a.BreakerOpen, b.BreakerOpen),
		cmp.Compare(cost(a), cost(b)),
	)
}

// isSimilar reports whether the server is about as good as the best one.
func isSimilar(s, best Server, tried []string) bool {
	return slices.Contains(tried, s.Address) == slices.Contains(tried, best.Address) && s.BreakerOpen == best.BreakerOpen &&
		load(s) <= load(best) && cost(s) <= similarCost*cost(best)
}

func isPreferred(a, b Server, request string) bool {
	if c := cmp.Or(compareFlags(b.Due, a.Due), cmp.Compare(b.Warmth, a.Warmth)); c != 0 {
		return c < 0
	}
	return hasLowerHash(a, b, request)
}

func hasLowerHash(a, b Server, request string) bool {
	return tieBreakHash(request, a.Address) < tieBreakHash(request, b.Address)
}

func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func load(s Server) int { return s.Outstanding + s.LoadPenalty }

func cost(s Server) float64 { return float64(load(s)+1) * cmp.Or(s.Slowness, 1) }

// tieBreakHash is an FNV-1a hash that does not allocate, because it runs for each server of each dispatch. The
// finalizer of SplitMix64 mixes the high bits; without it, 44 dispatchers with the same order of servers sent 88% of
// requests to full servers.
func tieBreakHash(request, address string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for _, text := range [2]string{address, request} {
		for n := range len(text) {
			h = (h ^ uint64(text[n])) * prime
		}
	}
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
