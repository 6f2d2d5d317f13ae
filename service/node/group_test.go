package node

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/service/api"
)

// Guards against requests that fail at nodes outside the group of their service, and against an idempotency key that
// runs twice when callers send it to several nodes.
func TestGroupAndKeys(t *testing.T) {
	f := newFleet(t, 3, 5)
	f.applyConfig(t)
	for _, n := range f.Nodes {
		await(t, func() bool { return len(n.Members.Group("rental-desk")) == 3 && len(n.Members.Peers()) == 4 })
	}

	t.Run("every node answers", func(t *testing.T) {
		for _, n := range f.Nodes {
			assertOutcome(t, newRequest(t, http.MethodGet, "http://"+n.Settings.CallerAddress+"/loans/1"), http.StatusOK, "answered")
		}
		assertRuns(t, f, 5)
	})
	t.Run("a key runs once at whichever node it arrives", func(t *testing.T) {
		key := keyFor(t, f.Nodes[0], "checkout-1")
		first := assertKeyedOutcome(t, f.Nodes[0], key, "answered")
		for _, n := range f.Nodes[1:] {
			is.New(t).Equal(assertKeyedOutcome(t, n, key, "answered"), first)
		}
		assertRuns(t, f, 6)
	})
	t.Run("a key whose owner is gone is unknown", func(t *testing.T) {
		key := keyFor(t, f.Nodes[4], "checkout-2")
		f.stop[4]()
		is.New(t).NoErr(<-f.done[4])
		f.done[4] <- nil
		assertKeyedOutcome(t, f.Nodes[0], key, "unknown")
		assertRuns(t, f, 6)
	})
	t.Run("a key that names no owner is refused as not run", func(t *testing.T) {
		assertKeyedOutcome(t, f.Nodes[0], "some-key", "not-run")
		assertRuns(t, f, 6)
	})
}

// keyFor returns an idempotency key owned by the node. It takes the prefix from an entry response if that lists the node,
// and otherwise composes it.
func keyFor(t *testing.T, n *Node, unique string) string {
	t.Helper()
	var got api.Entries
	is := is.New(t)
	r := newRequest(t, http.MethodGet, "http://"+n.Settings.CallerAddress+"/entries?service=rental-desk&availability-zone=kz-central-0")
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer response.Body.Close()
	is.NoErr(json.NewDecoder(response.Body).Decode(&got))
	is.Equal(len(got.Entries), 3)
	for _, e := range got.Entries {
		if e.HostID == n.Settings.HostID {
			return e.KeyPrefix + "." + unique
		}
	}
	self, incarnation := n.Members.Self()
	return strings.Join([]string{self.ID, incarnation, "0", unique}, ".")
}

func assertKeyedOutcome(t *testing.T, n *Node, key, outcome string) string {
	t.Helper()
	is := is.New(t)
	r := newRequest(t, http.MethodPost, "http://"+n.Settings.CallerAddress+"/loans/1")
	r.Header.Set(api.HeaderIdempotencyKey, key)
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.Header.Get(api.HeaderOutcome), outcome)
	return string(body)
}
