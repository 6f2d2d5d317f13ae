package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/standin/backendservice"
)

// Guards H5: a leaving backend server that still gets new work, from the node that saw the sign or from another member of
// the group that heard of it by a heartbeat.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.apply(t)
	for _, n := range f.Nodes {
		await(t, func() bool { return len(n.Members.Group("rental-desk")) == 3 })
	}
	leaving := anyBackend(f)
	f.Backends[leaving].SetFaults(backendservice.Faults{Leaving: true})

	// Only the first node sends requests, so that the others learn of the sign by its heartbeats.
	await(t, func() bool {
		ask(t, f.Nodes[0])
		return use(f.Nodes[0], leaving) == "leaving"
	})
	for _, n := range f.Nodes[1:] {
		await(t, func() bool { return use(n, leaving) == "leaving" })
	}
	before := len(f.Backends[leaving].Runs())
	for range 10 {
		for _, n := range f.Nodes {
			ask(t, n)
		}
	}
	is.New(t).Equal(len(f.Backends[leaving].Runs()), before)
}

func ask(t *testing.T, n *Node) {
	t.Helper()
	assertOutcome(t, newRequest(t, http.MethodGet, "http://"+n.Settings.CallerAddress+"/loans/1"), http.StatusOK, "answered")
}

// use returns the use of the backend server at the node.
func use(n *Node, address string) string {
	for _, s := range n.healthQuery.Servers(time.Now()) {
		if s.Address == address {
			return s.Use
		}
	}
	return ""
}
