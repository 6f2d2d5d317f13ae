package group

import (
	"slices"

	"egretline.example/egretline/pkg/fleet"
)

// Owner returns the host that does the task with the key, by rendezvous hashing over all regions. Leaving hosts are left
// out. Hosts with different views may name different owners, so the task must be harmless when done twice. It returns
// false if no host is eligible.
func Owner(key string, hosts []fleet.Host) (fleet.Host, bool) {
	eligible := slices.DeleteFunc(slices.Clone(hosts), func(h fleet.Host) bool { return h.Leaving })
	if len(eligible) == 0 {
		return fleet.Host{}, false
	}
	return Rank(key, eligible)[0], true
}
