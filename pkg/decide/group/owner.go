package group

import (
	"slices"

	"egretline.example/egretline/pkg/fleet"
)

// Owner returns the host that runs the task with the key, by rendezvous hashing over all regions. Leaving hosts are
// excluded. Hosts with different views of the membership may choose different owners, so the task must be idempotent. It
// returns false if no host is eligible.
func Owner(key string, hosts []fleet.Host) (fleet.Host, bool) {
	eligible := slices.DeleteFunc(slices.Clone(hosts), func(h fleet.Host) bool { return h.Leaving })
	if len(eligible) == 0 {
		return fleet.Host{}, false
	}
	return Rank(key, eligible)[0], true
}
