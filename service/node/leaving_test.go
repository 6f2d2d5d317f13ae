package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/standin/backendservice"
)

// Guards against new requests to a backend server that is leaving, both from the node that saw the Egretline-Leaving
// header and from group members that were informed by its heartbeats.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	f := newFleet(t, 3, 3)
	f.applyConfig(t)
	for _, n := range f.Nodes {
		await(t, func() bool { return len(n.Members.Group("rental-desk")) == 3 })
	}
	leaving := anyBackend(f)
	f.Backends[leaving].SetFaults(backendservice.Faults{Leaving: true})

	// Only the first node gets requests, so the others can be informed by its heartbeats only.
	await(t, func() bool {
		sendGet(t, f.Nodes[0])
		return serverUse(f.Nodes[0], leaving) == "leaving"
	})
	for _, n := range f.Nodes[1:] {
		await(t, func() bool { return serverUse(n, leaving) == "leaving" })
	}
	before := len(f.Backends[leaving].Runs())
	for range 10 {
		for _, n := range f.Nodes {
			sendGet(t, n)
		}
	}
	is.New(t).Equal(len(f.Backends[leaving].Runs()), before)
}

func sendGet(t *testing.T, n *Node) {
	t.Helper()
	assertOutcome(t, newRequest(t, http.MethodGet, "http://"+n.Settings.CallerAddress+"/loans/1"), http.StatusOK, "answered")
}

// serverUse returns how the node uses the backend server, or "" if it has no state of the server.
func serverUse(n *Node, address string) string {
	for _, s := range n.healthQueries.Servers(time.Now()) {
		if s.Address == address {
			return s.Use
		}
	}
	return ""
}
