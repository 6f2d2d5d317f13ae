package hostfront

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/http/dialect"
	"egretline.example/egretline/internal/transfer/transfercmd"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/pkg/trafficcmd"
)

var testHeaders = dialect.Headers{RequestID: "Request-Id", Deadline: "Deadline"}

// pipeListener is a net.Listener for in-memory connections. Unlike sockets, they work with the fake clock of synctest.
type pipeListener chan net.Conn

func (p pipeListener) Accept() (net.Conn, error) {
	conn, open := <-p
	if !open {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (p pipeListener) Close() error   { return nil }
func (p pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// fakeDispatcher completes each admitted request with Result after Delay.
type fakeDispatcher struct {
	Delay  time.Duration
	Result table.Result
	// Admitted lists the tickets passed to Admit, including those refused with AdmitErr.
	Admitted []*table.Ticket
	AdmitErr error
}

func (*fakeDispatcher) NextService(r fleet.Route) string { return r.Service }

func (d *fakeDispatcher) Admit(_ time.Time, t *table.Ticket) error {
	d.Admitted = append(d.Admitted, t)
	if d.AdmitErr != nil {
		return d.AdmitErr
	}
	go func() {
		select {
		case <-time.After(d.Delay):
		case <-t.Context.Done():
		}
		t.Done <- d.Result
	}()
	return nil
}

func (*fakeDispatcher) Cancel(*table.Ticket) bool { return false }

// hostBytes is the byte budget of the smallest hosts, which have 184 MB of memory.
const hostBytes = 46 << 20

// newTransfers returns the accounts of a node that may hold the given number of bytes.
func newTransfers(limitBytes int64) *transfercmd.Commands {
	return transfercmd.New(table.New(fleet.Host{}, ""), limitBytes, zerolog.Nop())
}

type discardTraffic struct{}

func (discardTraffic) Record(trafficcmd.Observation) {}

type fakeConfigSource struct{ Configuration *fleet.Configuration }

func (s *fakeConfigSource) Current() *fleet.Configuration { return s.Configuration }

func testConfiguration() *fleet.Configuration {
	return &fleet.Configuration{
		Revision: 7,
		Routes:   []fleet.Route{{Name: "bookings", Service: "desk", Host: "a.example", PathPrefix: "/book/", Timeout: 4 * time.Second}},
		RouteIndex: map[fleet.RouteKey]int{
			{Host: "a.example", PathPrefix: "/book/"}: 0,
		},
		TokensOptional: true,
	}
}

// fixture is a Handler behind an HTTP server, and a caller with one connection to it.
type fixture struct {
	Handler     *Handler
	Config      *fakeConfigSource
	startupDone chan struct{}
	server      *http.Server
	caller      net.Conn
	reader      *bufio.Reader
}

// withFixture runs the test in a synctest bubble, which has a fake clock.
func withFixture(t *testing.T, d *fakeDispatcher, run func(t *testing.T, f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{Config: &fakeConfigSource{}, startupDone: make(chan struct{})}
		f.Handler = &Handler{
			Config: f.Config, Dispatcher: d, Transfers: newTransfers(hostBytes), Headers: testHeaders, Traffic: discardTraffic{},
			MaxBodyBytes: 1 << 20, RegistryAge: func() time.Duration { return 0 }, StartupDone: f.startupDone,
			Leaving: func() bool { return false }, Log: zerolog.Nop(),
		}
		f.server = &http.Server{Handler: f.Handler} //nolint:gosec // the caller is the test
		listener := make(pipeListener, 1)
		go func() { _ = f.server.Serve(listener) }()
		caller, served := net.Pipe()
		listener <- served
		f.caller, f.reader = caller, bufio.NewReader(caller)
		run(t, f)
		_ = caller.Close()
		close(listener)
		_ = f.server.Shutdown(context.Background())
		synctest.Wait()
	})
}

// finishStartup provides the configuration and signals that the node has started.
func (f *fixture) finishStartup() {
	f.Config.Configuration = testConfiguration()
	close(f.startupDone)
}

// get sends a GET request and returns the response after reading its body.
func (f *fixture) get(t *testing.T, path string, headers ...string) *http.Response {
	t.Helper()
	lines := append([]string{"GET " + path + " HTTP/1.1", "Host: a.example"}, headers...)
	go func() { _, _ = io.WriteString(f.caller, strings.Join(lines, "\r\n")+"\r\n\r\n") }()
	response, err := http.ReadResponse(f.reader, nil)
	is.New(t).NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.New(t).NoErr(err)
	return response
}

func assertStatus(t *testing.T, r *http.Response, want int) {
	t.Helper()
	is.New(t).Equal(r.StatusCode, want)
}
