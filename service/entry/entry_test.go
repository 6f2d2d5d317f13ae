package entry

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/load"
	"egretline.example/egretline/pkg/standin/backendservice"
	"egretline.example/egretline/service/api"
)

// fakeNode answers GET /entries with fixed entries. It passes other requests to override if that is set, and otherwise
// to a backend service in the same process.
type fakeNode struct {
	entries         []api.Entry
	ttl             time.Duration
	backend         http.Handler
	entriesRequests atomic.Int64
	requests        atomic.Int64
	lastKey         atomic.Value
	override        http.HandlerFunc
}

func (n *fakeNode) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/entries" {
		n.entriesRequests.Add(1)
		_ = json.NewEncoder(w).Encode(api.Entries{TimeToLiveMs: n.ttl.Milliseconds(), Entries: n.entries})
		return
	}
	n.requests.Add(1)
	n.lastKey.Store(r.Header.Get(api.HeaderIdempotencyKey))
	if n.override != nil {
		n.override(w, r)
		return
	}
	r.Header.Set(api.HeaderTenant, "shop")
	r.Header.Set(api.HeaderRequestID, "r1")
	w.Header().Set(api.HeaderOutcome, "answered")
	n.backend.ServeHTTP(w, r)
}

// Guards against wrong results of the load tool: a wrong response that goes unnoticed, or an unreachable node that
// stops the load.
func TestSend(t *testing.T) {
	t.Run("a whole response is answered and its digest matches", func(t *testing.T) {
		f := newFixture(t, backendservice.Faults{})
		r := f.send(t, 0)
		assertResult(t, r, load.Answered)
		is.New(t).Equal(r.Reply.Digest, load.DigestMatches)
	})
	t.Run("corrupt and short bodies are digest mismatches", func(t *testing.T) {
		assertResult(t, newFixture(t, backendservice.Faults{CorruptFraction: 1}).send(t, 0), load.DigestMismatch)
		assertResult(t, newFixture(t, backendservice.Faults{ShortFraction: 1}).send(t, 0), load.DigestMismatch)
	})
	t.Run("a truncated body is a transport error", func(t *testing.T) {
		assertResult(t, newFixture(t, backendservice.Faults{TruncateFraction: 1}).send(t, 0), load.TransportError)
	})
	t.Run("a response to another request is a wrong response", func(t *testing.T) {
		f := newFixture(t, backendservice.Faults{CrossedFraction: 1})
		f.send(t, 0)
		assertResult(t, f.send(t, 0), load.WrongResponse)
	})
	t.Run("the next entry is used when the first cannot be connected to", func(t *testing.T) {
		f := newFixture(t, backendservice.Faults{})
		f.node.entries = append([]api.Entry{{Address: unusedAddress(t), KeyPrefix: "gone.1.1"}}, f.node.entries...)
		r := f.send(t, 1)
		assertResult(t, r, load.Answered)
		is := is.New(t)
		is.Equal(r.Node, f.address)
		is.True(strings.HasPrefix(r.IdempotencyKey, "h1.i1.1."))
		is.Equal(f.node.lastKey.Load(), r.IdempotencyKey)
	})
	t.Run("no entry can be connected to", func(t *testing.T) {
		f := newFixture(t, backendservice.Faults{})
		f.node.entries = []api.Entry{{Address: unusedAddress(t)}}
		assertResult(t, f.send(t, 0), load.NoEntry)
	})
	t.Run("a non-idempotent request is not replayed on a broken connection", func(t *testing.T) {
		f := newFixture(t, backendservice.Faults{})
		assertResult(t, f.send(t, 1), load.Answered)
		f.node.override = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
		before := f.node.requests.Load()
		assertResult(t, f.send(t, 1), load.TransportError)
		is.New(t).Equal(f.node.requests.Load(), before+1)
	})
	t.Run("a replay that cannot connect does not hide the request that was sent", func(t *testing.T) {
		f := newFixture(t, backendservice.Faults{})
		assertResult(t, f.send(t, 0), load.Answered)
		f.node.override = func(http.ResponseWriter, *http.Request) {
			f.server.Listener.Close()
			panic(http.ErrAbortHandler)
		}
		assertResult(t, f.send(t, 0), load.TransportError)
	})
	t.Run("a refusal keeps its reason", func(t *testing.T) {
		f := newFixture(t, backendservice.Faults{})
		f.node.override = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(api.HeaderOutcome, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = json.NewEncoder(w).Encode(api.Refusal{Outcome: "not-run", Reason: "queue full"})
		}
		r := f.send(t, 0)
		assertResult(t, r, load.NotRun)
		is.New(t).Equal(r.Reply.Reason, "queue full")
	})
}

// Guards against callers that fetch entries for every request, or use an expired response.
func TestEntriesAreKept(t *testing.T) {
	t.Run("within the time to live", func(t *testing.T) {
		f := newFixture(t, backendservice.Faults{})
		f.send(t, 0)
		f.send(t, 0)
		is.New(t).Equal(f.node.entriesRequests.Load(), int64(1))
	})
	t.Run("not after it", func(t *testing.T) {
		f := newFixture(t, backendservice.Faults{})
		f.node.ttl = 0
		f.send(t, 0)
		f.send(t, 0)
		is.New(t).Equal(f.node.entriesRequests.Load(), int64(2))
	})
}

type fixture struct {
	node       *fakeNode
	server     *httptest.Server
	address    string
	sender     Sender
	experiment load.Experiment
}

func newFixture(t *testing.T, faults backendservice.Faults) *fixture {
	t.Helper()
	backend := backendservice.New(backendservice.Settings{Profiles: []backendservice.Profile{{Prefix: "/", BodyBytes: 2048}}})
	backend.SetFaults(faults)
	node := &fakeNode{ttl: time.Hour, backend: backend}
	server := httptest.NewServer(node)
	t.Cleanup(server.Close)
	f := &fixture{node: node, server: server, address: strings.TrimPrefix(server.URL, "http://")}
	node.entries = []api.Entry{{Address: f.address, KeyPrefix: "h1.i1.1"}}
	f.sender = Sender{Client: New([]string{f.address})}
	f.experiment = load.Experiment{
		CheckEcho: true,
		Tenants:   []load.Tenant{{Name: "shop", Token: "secret", Weight: 1}},
		Flows: []load.Flow{
			{Service: "ledger-view", Method: http.MethodGet, Path: "/ledger", Idempotent: true, Timeout: time.Minute},
			{Service: "rental-desk", Method: http.MethodPost, Path: "/rentals", Timeout: time.Minute},
		},
	}
	return f
}

func (f *fixture) send(t *testing.T, flow int) load.Result {
	t.Helper()
	request := load.Request{FlowIndex: flow, Number: int(f.node.requests.Load())}
	nonce := "n" + string(rune('a'+request.Number))
	return f.sender.Send(t.Context(), load.Job{Experiment: &f.experiment, Request: request, Nonce: nonce})
}

// unusedAddress returns an address on which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	address := l.Addr().String()
	is.New(t).NoErr(l.Close())
	return address
}

func assertResult(t *testing.T, r load.Result, want load.Class) {
	t.Helper()
	is.New(t).Equal(r.Class, want)
}
