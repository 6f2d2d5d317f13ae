package node

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/service/api"
)

// newGroupedFleet starts seven nodes in two availability zones with a group of four, which leaves three nodes outside,
// and waits until the nodes agree on the group and have exchanged heartbeats.
func newGroupedFleet(t testing.TB) *testFleet {
	t.Helper()
	f := newFleet(t, 2, 0)
	f.GroupSize = 4
	for i := range 7 {
		f.startNode(t, fmt.Sprintf("n%d", i), fmt.Sprintf("kz-central-%d", i%2))
	}
	f.applyConfig(t)
	await(t, func() bool { return converged(f.Nodes) })
	return f
}

// converged reports whether every node lists all the others, computes the same group, and, as a member, has the key
// prefixes of all members.
func converged(nodes []*Node) bool {
	want := hostIDs(nodes[0].Members.Group("rental-desk"))
	for _, n := range nodes {
		group := n.Members.Group("rental-desk")
		if len(n.Members.Peers()) != len(nodes)-1 || len(group) != 4 || hostIDs(group) != want {
			return false
		}
		if n.Members.Serves("rental-desk") && strings.Contains(missingPrefixes(n), "?") {
			return false
		}
	}
	return true
}

// missingPrefixes returns a "?" for each group member whose key prefix the node does not have.
func missingPrefixes(n *Node) string {
	var all string
	for _, e := range n.Members.Entries("rental-desk", "", time.Now()) {
		if e.KeyPrefix == "" {
			all += "?"
		}
	}
	return all
}

func hostIDs(hosts []fleet.Host) string {
	var all []string
	for _, h := range hosts {
		all = append(all, h.ID)
	}
	return strings.Join(all, " ")
}

// pickOutsideAndInside returns a node outside the group and a member of it.
func pickOutsideAndInside(f *testFleet) (outside, inside *Node) {
	for _, n := range f.Nodes {
		if n.Members.Serves("rental-desk") {
			inside = n
		} else {
			outside = n
		}
	}
	return outside, inside
}

func keyedRequest(t testing.TB, n *Node, key string) *http.Request {
	t.Helper()
	r := newRequest(t, http.MethodPost, "http://"+n.Settings.CallerAddress+"/loans/1")
	r.Header.Set(api.HeaderIdempotencyKey, key)
	return r
}

type reply struct {
	status  int
	outcome string
	header  http.Header
	body    string
}

func send(t testing.TB, r *http.Request) reply {
	t.Helper()
	is := is.New(t)
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return reply{status: response.StatusCode, outcome: response.Header.Get(api.HeaderOutcome), header: response.Header, body: string(body)}
}

func entriesOf(t testing.TB, n *Node) api.Entries {
	t.Helper()
	r := newRequest(t, http.MethodGet, "http://"+n.Settings.CallerAddress+"/entries?service=rental-desk&availability-zone=kz-central-1")
	answer := send(t, r)
	is.New(t).Equal(answer.status, http.StatusOK)
	var e api.Entries
	is.New(t).NoErr(json.Unmarshal([]byte(answer.body), &e))
	return e
}

// Guards against an idempotency key that runs twice, or that a node reports as not run when it may have run, and against
// forwards that fail or change the request.
func TestForwardsAndKeys(t *testing.T) {
	f := newGroupedFleet(t)
	outside, inside := pickOutsideAndInside(f)
	prefix := inside.Members.KeyPrefix(time.Now())

	t.Run("a node outside the group forwards", func(t *testing.T) {
		outside.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
			clear(b.Services) // without backend servers, the node can only forward
		})
		r := newRequest(t, http.MethodGet, "http://"+outside.Settings.CallerAddress+"/loans/1?a=b%2Fc")
		answer := send(t, r)
		is := is.New(t)
		is.Equal(answer.outcome, "answered")
		is.True(strings.Contains(answer.body, `/loans/1?a=b%2Fc`)) // the forward must not change the target
	})
	t.Run("entries of any node list the group with key prefixes, the caller's zone first", func(t *testing.T) {
		is := is.New(t)
		for _, n := range f.Nodes {
			e := entriesOf(t, n)
			is.Equal(len(e.Entries), 4)
			is.Equal(e.Entries[0].AvailabilityZone, "kz-central-1")
			for _, entry := range e.Entries {
				is.True(entry.KeyPrefix != "")
			}
		}
	})
	t.Run("a key runs once through all nodes at the same time", func(t *testing.T) {
		before := totalRuns(f)
		replies := make([]reply, 3*len(f.Nodes))
		var wg sync.WaitGroup
		for i := range replies {
			r := keyedRequest(t, f.Nodes[i%len(f.Nodes)], prefix+".same")
			wg.Go(func() { replies[i] = send(t, r) })
		}
		wg.Wait()
		is := is.New(t)
		is.Equal(totalRuns(f), before+1)
		for _, answer := range replies {
			is.Equal(answer.outcome, "answered")
			is.Equal(answer.body, replies[0].body)
		}
	})
	t.Run("a key that is reused for another request is refused", func(t *testing.T) {
		before := totalRuns(f)
		is := is.New(t)
		is.Equal(send(t, keyedRequest(t, outside, prefix+".other")).outcome, "answered")
		r := keyedRequest(t, outside, prefix+".other")
		r.URL.Path = "/loans/2"
		is.Equal(send(t, r).outcome, "not-run")
		is.Equal(totalRuns(f), before+1)
	})
	t.Run("a key of an ended incarnation is unknown", func(t *testing.T) {
		self, _ := inside.Members.Self()
		for _, n := range f.Nodes {
			answer := send(t, keyedRequest(t, n, self.ID+".0123.0.a"))
			is.New(t).Equal(answer.outcome, "unknown")
		}
	})
	t.Run("a key of an unknown host is unknown", func(t *testing.T) {
		is.New(t).Equal(send(t, keyedRequest(t, inside, "elsewhere.0123.0.a")).outcome, "unknown")
	})
	t.Run("a key that names no owner is refused with a prefix to use", func(t *testing.T) {
		answer := send(t, keyedRequest(t, outside, "plain"))
		is := is.New(t)
		is.Equal(answer.status, http.StatusBadRequest)
		is.Equal(answer.outcome, "not-run")
		is.Equal(answer.header.Get(api.HeaderKeyPrefix), outside.Members.KeyPrefix(time.Now()))
	})
	t.Run("an unknown token with a key gets unknown instead of not-run", func(t *testing.T) {
		r := keyedRequest(t, outside, prefix+".same")
		r.Header.Set("Authorization", "Bearer other")
		is.New(t).Equal(send(t, r).outcome, "unknown")
	})
	t.Run("a caller cannot pose as another node", func(t *testing.T) {
		r := newRequest(t, http.MethodGet, "http://"+outside.Settings.PeerAddress+api.PathForward+"/loans/1")
		r.Header.Set(api.HeaderTenant, "other")
		is.New(t).Equal(send(t, r).status, http.StatusUnauthorized)
	})
}

// Guards against entry responses that still list a leaving node, and against a leaving node that stops serving too soon.
func TestLeavingNode(t *testing.T) {
	f := newGroupedFleet(t)
	_, inside := pickOutsideAndInside(f)
	self, _ := inside.Members.Self()
	prefix := inside.Members.KeyPrefix(time.Now())
	inside.memberCommands.SetLeaving()
	inside.sendHeartbeats(t.Context(), time.Now())
	for _, n := range f.Nodes {
		await(t, func() bool { return !containsHost(entriesOf(t, n), self.ID) })
	}
	answer := send(t, keyedRequest(t, inside, prefix+".a"))
	is.New(t).Equal(answer.outcome, "answered")
}

func containsHost(e api.Entries, id string) bool {
	for _, entry := range e.Entries {
		if entry.HostID == id {
			return true
		}
	}
	return false
}
