package fleetproc

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against two processes with the same address: the second one is chosen while the first does not listen yet.
func TestFreeAddresses(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for range portsPerBlock / 6 {
		free, err := FreeAddresses(3)
		is.NoErr(err)
		for _, a := range free {
			is.True(!seen[a])
			seen[a] = true
		}
	}
}
