package entrynode

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/decide/pause"
	"egretline.example/egretline/internal/decide/registry"
	"egretline.example/egretline/internal/decide/replica"
	"egretline.example/egretline/internal/http/dialect"
	"egretline.example/egretline/internal/peer/peerapi"
	"egretline.example/egretline/internal/roster/rostercmd"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/test/fleetproc"
)

// addressLog is a log that cannot be reached, and whose registrations of backend servers are their addresses.
type addressLog struct{ oneServerLog }

func (addressLog) Newest(context.Context, table.Topic) (replica.Batch, error) {
	return replica.Batch{}, http.ErrHandlerTimeout
}

func (addressLog) Read(context.Context, table.Topic, int64) (replica.Batch, error) {
	return replica.Batch{}, http.ErrHandlerTimeout
}

func (addressLog) BackendServer(key string, value []byte) (registry.Registration, error) {
	return registry.Registration{Instance: key, Service: "desk", Address: string(value), Slots: 6}, nil
}

// pauseFixture is a node that knows two backend servers, and whose registrar knows that the first of them was removed. The
// loops of the node don't run, so that only a request can notice a pause.
type pauseFixture struct {
	Node *Node
	// Servers are the backend servers, and Arrived counts the requests that reached each of them.
	Servers [2]*httptest.Server
	Arrived [2]atomic.Int32
	// Answering reports whether the registrar answers.
	Answering atomic.Bool
	// PausedBySync makes the process pause once while its request is at the registrar.
	PausedBySync atomic.Bool
	// paused is what the clocks show beyond the time that has passed.
	paused atomic.Int64
}

var testHeaders = dialect.Headers{
	RequestID: "Request-Id", Deadline: "Deadline", ExpectInstance: "Expect-Instance", NotExecuted: "Not-Executed",
	Signature: "Signature", Leaving: "Leaving",
}

func newPauseFixture(t *testing.T) *pauseFixture {
	t.Helper()
	f := &pauseFixture{}
	for i := range f.Servers {
		f.Servers[i] = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.Arrived[i].Add(1)
			w.Header().Set(testHeaders.RequestID, r.Header.Get(testHeaders.RequestID))
			w.Header().Set(testHeaders.Signature, "signed")
		}))
		t.Cleanup(f.Servers[i].Close)
	}
	f.Answering.Store(true)
	registrar := httptest.NewServer(http.HandlerFunc(f.sync))
	t.Cleanup(registrar.Close)
	var err error
	f.Node, err = New(Options{
		Self:    fleet.Host{ID: "self", AvailabilityZone: "a", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0"},
		Headers: testHeaders, MaxBodyBytes: 1 << 20, Seeds: []string{registrar.Listener.Addr().String()},
	}, addressLog{}, addressLog{}, zerolog.Nop())
	is.New(t).NoErr(err)
	t.Cleanup(f.Node.closeServers)
	f.Node.pauses.ReadClocks = func() pause.Reading {
		return pause.Reading{Steady: time.Now().Add(time.Duration(f.paused.Load()))}
	}
	f.Node.pauses.Observe()
	f.Node.replicaCommands.Apply(table.TopicConfiguration, replica.Batch{
		Records: []replica.Record{{Key: "only", Value: []byte("x")}}, Next: 1, Full: true, AsOf: time.Now(),
	}, "test")
	f.Node.replicaCommands.Apply(table.TopicBackendServers, replica.Batch{
		Records: []replica.Record{f.registration(0), f.registration(1)}, Next: 2, Full: true, AsOf: time.Now(),
	}, "test")
	f.Node.applyConfiguration()
	return f
}

func (f *pauseFixture) registration(n int) replica.Record {
	return replica.Record{Key: string('a' + rune(n)), Value: []byte(f.Servers[n].Listener.Addr().String()), Offset: int64(n)}
}

// sync answers as a registrar that has seen the removal of the first server, or not at all.
func (f *pauseFixture) sync(w http.ResponseWriter, r *http.Request) {
	if f.PausedBySync.CompareAndSwap(true, false) {
		f.pause(2200 * time.Millisecond)
	}
	if !f.Answering.Load() {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices only then that the client has left
		<-r.Context().Done()
		return
	}
	_ = json.NewEncoder(w).Encode(peerapi.SyncResponse{
		From: peerapi.Host{ID: "registrar", Ready: true},
		Topics: map[table.Topic]peerapi.Batch{
			table.TopicBackendServers: {Next: 3, Records: []peerapi.Record{{Key: f.registration(0).Key, Offset: 2}}},
		},
	})
}

// pause makes the clocks of the process show a pause.
func (f *pauseFixture) pause(d time.Duration) { f.paused.Add(int64(d)) }

// awaitRefresh waits until the refresh after the pause has ended, which takes a little longer than requests wait for it.
func (f *pauseFixture) awaitRefresh(t *testing.T) {
	t.Helper()
	is.New(t).NoErr(fleetproc.Await(t.Context(), "the refresh has ended", func() bool { return !f.Node.pauses.Refreshing() }))
}

// get sends a request to the node.
func (f *pauseFixture) get(t *testing.T) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/look", http.NoBody)
	r.Host = "a.example"
	r.Header.Set(testHeaders.RequestID, "r1")
	w := httptest.NewRecorder()
	f.Node.servers[0].http.Handler.ServeHTTP(w, r)
	return w
}

// preferFirst makes the dispatcher choose the first server as long as it may.
func (f *pauseFixture) preferFirst(t *testing.T) {
	t.Helper()
	f.Node.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		b.Services["desk"][f.Servers[1].Listener.Addr().String()].Outstanding = 1
	})
}

// assertArrivals compares the number of requests that reached each server.
func assertArrivals(t *testing.T, f *pauseFixture, first, second int32) {
	t.Helper()
	is := is.New(t)
	is.Equal(f.Arrived[0].Load(), first)
	is.Equal(f.Arrived[1].Load(), second)
}

// Guards against requests that were read before a pause of the process, and are sent at its end to a backend server that was
// removed meanwhile (docs/incidents/040), and against requests that are held although they could be served.
func TestSendAfterPause(t *testing.T) {
	t.Run("a request goes to a server that is still registered", func(t *testing.T) {
		f := newPauseFixture(t)
		f.preferFirst(t)
		f.pause(2200 * time.Millisecond)
		is.New(t).Equal(f.get(t).Code, http.StatusOK)
		assertArrivals(t, f, 0, 1)
	})
	t.Run("without a pause nobody is asked", func(t *testing.T) {
		f := newPauseFixture(t)
		f.preferFirst(t)
		f.Answering.Store(false)
		is.New(t).Equal(f.get(t).Code, http.StatusOK)
		assertArrivals(t, f, 1, 0)
	})
	t.Run("if nobody answers, the request is sent with what is known", func(t *testing.T) {
		f := newPauseFixture(t)
		f.preferFirst(t)
		f.Answering.Store(false)
		f.pause(2200 * time.Millisecond)
		is.New(t).Equal(f.get(t).Code, http.StatusOK)
		assertArrivals(t, f, 1, 0)
	})
	t.Run("only the first requests after a pause wait", func(t *testing.T) {
		f := newPauseFixture(t)
		f.pause(2200 * time.Millisecond)
		is := is.New(t)
		is.Equal(f.get(t).Code, http.StatusOK)
		is.True(!f.Node.pauses.Refreshing())
	})
}

// Guards against a host that takes all other hosts for dead after a pause, because it has not heard from them meanwhile. It chose
// other entry hosts until it heard from them again, and named those to callers (docs/incidents/042).
func TestEntryHostsAfterPause(t *testing.T) {
	const length = 4 * time.Second
	newFixture := func(t *testing.T) (f *pauseFixture, now time.Time) {
		t.Helper()
		f, now = newPauseFixture(t), time.Now()
		other := fleet.Host{ID: "other", AvailabilityZone: "b", PeerAddress: (*f.Node.seeds.Load())[0]}
		f.Node.rosterCommands.RecordContact(now, rostercmd.Announcement{Host: other, Ready: true})
		f.Node.sweep(now)
		assertEntryHosts(t, f.Node, "other", "self")
		return f, now
	}
	t.Run("the entry hosts stay until others have been asked", func(t *testing.T) {
		f, now := newFixture(t)
		f.Answering.Store(false)
		f.pause(length)
		f.Node.sweep(now.Add(length))
		assertEntryHosts(t, f.Node, "other", "self")
	})
	t.Run("hosts that do not answer are no entry hosts", func(t *testing.T) {
		f, now := newFixture(t)
		f.Answering.Store(false)
		f.pause(length)
		f.awaitRefresh(t)
		f.Node.sweep(now.Add(length))
		assertEntryHosts(t, f.Node, "self")
	})
	t.Run("a request to a host that timed out during the pause is not counted against it", func(t *testing.T) {
		f, now := newFixture(t)
		f.Answering.Store(false)
		f.PausedBySync.Store(true)
		f.Node.sync(f.Node.Roster.Registrars()[0])
		f.awaitRefresh(t)
		f.Node.sweep(now.Add(time.Second))
		assertEntryHosts(t, f.Node, "other", "self")
	})
}

func assertEntryHosts(t *testing.T, n *Node, want ...string) {
	t.Helper()
	var got []string
	for _, h := range n.Roster.EntryHosts() {
		got = append(got, h.ID)
	}
	slices.Sort(got)
	is.New(t).Equal(got, want)
}
