package entrynode

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/decide/registry"
	"egretline.example/egretline/internal/decide/replica"
	"egretline.example/egretline/internal/http/dialect"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/test/fleetproc"
)

// oneServerLog is a log with one route for all paths of host a.example, which leads to one backend server with one slot.
type oneServerLog struct {
	emptyLog
	Address string
}

func (l oneServerLog) Newest(_ context.Context, topic table.Topic) (replica.Batch, error) {
	b := replica.Batch{Full: true, Uncompacted: true, Next: 1, AsOf: time.Now()}
	if topic != table.TopicHosts {
		b.Records = []replica.Record{{Key: "only", Value: []byte("x")}}
	}
	return b, nil
}

func (oneServerLog) Configuration([]byte) (*fleet.Configuration, error) {
	return &fleet.Configuration{
		TokensOptional: true,
		Revision:       1, Ranks: []fleet.Rank{{Name: "bookings", Share: 1}}, Services: map[string]fleet.Service{"desk": {Name: "desk"}},
		Routes: []fleet.Route{{
			Name: "all", Service: "desk", Host: "a.example", PathPrefix: "/", Rank: "bookings", Timeout: time.Minute,
		}},
		RouteIndex: map[fleet.RouteKey]int{{Host: "a.example", PathPrefix: "/"}: 0},
	}, nil
}

func (l oneServerLog) BackendServer(string, []byte) (registry.Registration, error) {
	return registry.Registration{Instance: "i-1", Service: "desk", Address: l.Address, Slots: 1}, nil
}

// drainFixture is a node with a grace period of one second, before a backend server that answers no request.
type drainFixture struct {
	Node *Node
	// Arrived has an element for each request that reached the backend server.
	Arrived chan struct{}
	stop    context.CancelFunc
	stopped chan error
}

func newDrainFixture(t *testing.T) *drainFixture {
	t.Helper()
	f := &drainFixture{Arrived: make(chan struct{}, 16), stopped: make(chan error, 1)}
	backend := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		f.Arrived <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(backend.Close)
	log := oneServerLog{Address: backend.Listener.Addr().String()}
	var err error
	f.Node, err = New(Options{
		Self:        fleet.Host{ID: "self", AvailabilityZone: "a", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0"},
		GracePeriod: time.Second, MaxBodyBytes: 1 << 20,
		Headers: dialect.Headers{RequestID: "Request-Id", Deadline: "Deadline", ExpectInstance: "Expect-Instance",
			NotExecuted: "Not-Executed", Signature: "Signature", Leaving: "Leaving"},
	}, log, log, zerolog.Nop())
	is.New(t).NoErr(err)
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	go func() { f.stopped <- f.Node.Run(ctx) }()
	f.await(t, "the node is ready", f.Node.Ready)
	return f
}

func (f *drainFixture) await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	is.New(t).NoErr(fleetproc.Await(t.Context(), what, condition))
}

func (f *drainFixture) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", f.Node.servers[0].listener.Addr().String()) //nolint:noctx // loopback
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// post sends a request and returns the response after reading its body.
func post(c net.Conn, id string) (*http.Response, error) {
	_, err := io.WriteString(c, "POST /book HTTP/1.1\r\nHost: a.example\r\nRequest-Id: "+id+"\r\nContent-Length: 4\r\n\r\nbody")
	if err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response, err
}

// assertNotRun fails unless the response tells the caller that the request did not run and may be sent to another node.
func assertNotRun(t *testing.T, r *http.Response) {
	t.Helper()
	is := is.New(t)
	is.Equal(r.StatusCode, http.StatusServiceUnavailable)
	is.Equal(r.Header.Get("Retry-After"), "0.100")
	is.True(r.Close)
}

// TestDrain guards against requests that a stopping node has read and whose connections it closes without an answer:
// those in its queue, which no backend server has seen, and those that arrive late in the grace period.
func TestDrain(t *testing.T) {
	t.Run("every request in progress gets a response before the node ends", func(t *testing.T) {
		f := newDrainFixture(t)
		type answer struct {
			response *http.Response
			err      error
		}
		answers := make(chan answer, 4)
		for _, id := range []string{"r1", "r2", "r3", "r4"} {
			c := f.dial(t)
			go func() {
				r, err := post(c, id)
				answers <- answer{r, err}
			}()
		}
		f.await(t, "one request is sent and three wait", func() bool {
			waiting, sent := f.Node.unfinishedRequests()
			return waiting == 3 && sent == 1 && len(f.Arrived) == 1
		})
		f.stop()
		refused := 0
		for range 4 {
			a := <-answers
			is.New(t).NoErr(a.err)
			if a.response.StatusCode == http.StatusBadGateway { // the request at which the server was at work
				continue
			}
			assertNotRun(t, a.response)
			refused++
		}
		is.New(t).Equal(refused, 3)
		is.New(t).NoErr(<-f.stopped)
		is.New(t).Equal(len(f.Arrived), 1)
	})
	t.Run("a request that arrives after the node stopped accepting connections is refused", func(t *testing.T) {
		f := newDrainFixture(t)
		c := f.dial(t)
		f.stop()
		f.await(t, "the node accepts no more connections", func() bool {
			other, err := net.Dial("tcp4", f.Node.servers[0].listener.Addr().String()) //nolint:noctx // loopback
			if err == nil {
				_ = other.Close()
			}
			return err != nil
		})
		r, err := post(c, "late")
		is.New(t).NoErr(err)
		assertNotRun(t, r)
		is.New(t).NoErr(<-f.stopped)
		is.New(t).Equal(len(f.Arrived), 0)
	})
}
