package admission

import "slices"

// Server is a backend server as a candidate for a request.
type Server struct {
	Address     string
	Outstanding int
	Limit       Limit
	// Trial says that the server is out of use and due for a trial request.
	Trial bool
	// Avoided says that the server failed a short time ago, so that any other one goes first.
	Avoided bool
	// Detour is the load, in outstanding requests, that another server may have more before this one is preferred.
	Detour int
}

// Free says that one more request may go to the server.
func Free(s Server) bool {
	return s.Limit.Allows(s.Outstanding)
}

// Choose returns the index of the server for a request, or -1 if it has to wait. A server that is due for a trial goes
// first; the caller leaves it out for requests that cannot be one. Otherwise it is the free server with the fewest
// outstanding requests, one that was not tried if there is any. The server of the last attempt is chosen only if it is
// the only one. Ties are broken by a hash of request and address, because the nodes of a group would otherwise favor the
// same servers.
func Choose(servers []Server, request string, tried []string) int {
	best := -1
	for n, s := range servers {
		if !Free(s) || len(servers) > 1 && last(tried) == s.Address {
			continue
		}
		if s.Trial {
			return n
		}
		if best < 0 || before(s, servers[best], request, tried) {
			best = n
		}
	}
	return best
}

func last(tried []string) string {
	if len(tried) == 0 {
		return ""
	}
	return tried[len(tried)-1]
}

func before(a, b Server, request string, tried []string) bool {
	if at, bt := slices.Contains(tried, a.Address), slices.Contains(tried, b.Address); at != bt {
		return bt
	}
	if a.Avoided != b.Avoided {
		return b.Avoided
	}
	if la, lb := a.Outstanding+a.Detour, b.Outstanding+b.Detour; la != lb {
		return la < lb
	}
	return tie(request, a.Address) < tie(request, b.Address)
}

// tie is an FNV-1a hash without allocation, because it runs for each server of each dispatch. The finalizer of SplitMix64
// spreads its high bits; without it, 44 dispatchers with the same order of servers put 88% of requests on full servers.
func tie(request, address string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for _, part := range [2]string{address, request} {
		for n := range len(part) {
			h = (h ^ uint64(part[n])) * prime
		}
	}
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
