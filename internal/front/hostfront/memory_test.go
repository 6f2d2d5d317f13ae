package hostfront

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/internal/decide/bytebudget"
	"egretline.example/egretline/internal/transfer/transferquery"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

const (
	slowCallers = 200
	// smallBudget is far below what the slow callers ask for.
	smallBudget = 8 << 20
	largeBytes  = 1 << 20
	// slowBufferBytes is the size of the socket buffers between a node and its slow callers.
	slowBufferBytes = 32 << 10
)

// newServer starts a backend server that answers GET with as many bytes as the last element of the path says. It does not read
// the body of a PUT until stop is closed.
func newServer(t *testing.T, stop <-chan struct{}) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Signature", "s")
		if r.Method == http.MethodPut {
			select {
			case <-stop:
			case <-r.Context().Done():
			}
		}
		length, _ := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
		w.Header().Set("Content-Length", strconv.Itoa(length))
		_, _ = io.WriteString(w, strings.Repeat("x", length))
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// slowCaller opens a connection and sends the text of a request.
func slowCaller(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", address) //nolint:noctx // loopback
	is.New(t).NoErr(err)
	is.New(t).NoErr(c.SetDeadline(time.Now().Add(time.Minute))) // far beyond the timeout of the route
	if tcp, ok := c.(*net.TCPConn); ok {
		is.New(t).NoErr(tcp.SetReadBuffer(slowBufferBytes))
	}
	_, err = io.WriteString(c, text)
	is.New(t).NoErr(err)
	return c
}

// assertServed checks that another caller gets a complete response of the given length.
func assertServed(t *testing.T, url string, length int) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute) // far beyond the timeout of the route
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprint(url, "/book/", length), nil)
	is.NoErr(err)
	r.Host = "a.example"
	r.Header.Set("Request-Id", "other")
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(n, int64(length))
}

// patientHandler returns the handler of the server. It waits longer than a node for a connection to the backend server, because
// a busy test machine may need that for so many at a time.
func patientHandler(s *httptest.Server) *Handler {
	h, _ := s.Config.Handler.(*Handler)
	h.Pool.Dialer.Timeout = time.Minute
	return h
}

func usage(h *Handler) transferquery.Usage {
	return (&transferquery.Queries{Tables: h.Transfers.Tables}).Usage()
}

func assertWithinBudget(t *testing.T, h *Handler) {
	t.Helper()
	if u := usage(h); u.RequestBytes+u.ResponseBytes > smallBudget {
		t.Errorf("%d and %d bytes held, limit %d", u.RequestBytes, u.ResponseBytes, smallBudget)
	}
}

// assertReturned checks that nothing is held after all requests have ended.
func assertReturned(t *testing.T, h *Handler) {
	t.Helper()
	u := usage(h)
	is.New(t).Equal([]int64{u.RequestBytes, u.ResponseBytes, int64(u.Waiting)}, []int64{0, 0, 0})
}

// TestSlowReaders guards against a host that ends by its memory limit, or lets others wait, because many callers read large
// responses slowly or not at all.
func TestSlowReaders(t *testing.T) {
	for _, c := range []struct {
		name string
		read func(net.Conn)
	}{
		{"callers that read nothing", func(net.Conn) {}},
		{"callers that read 1 KB at a time", func(c net.Conn) { _, _ = io.ReadFull(c, make([]byte, 1<<10)) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newBackendFront(t, directDispatcher{Address: newServer(t, nil), HeldBytes: smallBudget})
			h := patientHandler(s)
			var callers []net.Conn
			for k := range slowCallers {
				callers = append(callers, slowCaller(t, s.Listener.Addr().String(),
					fmt.Sprintf("GET /book/%d HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r%d\r\n\r\n", largeBytes, k)))
			}
			for _, length := range []int{0, 1000, 100_000, 2 * largeBytes} {
				for _, caller := range callers {
					c.read(caller)
				}
				assertServed(t, s.URL, length)
				assertWithinBudget(t, h)
			}
			is.True(usage(h).Slowed > 0) // the budget was short
			for _, caller := range callers {
				_ = caller.Close()
			}
			s.Close()
			assertReturned(t, h)
		})
	}
}

// TestSlowUploads guards against a host that ends by its memory limit because many uploads wait for a backend server that does
// not read, and against refusals that callers can't use.
func TestSlowUploads(t *testing.T) {
	is := is.New(t)
	stop := make(chan struct{})
	s := newBackendFront(t, directDispatcher{Address: newServer(t, stop), HeldBytes: smallBudget})
	h := patientHandler(s)
	var callers []net.Conn
	var refused sync.WaitGroup
	for k := range slowCallers {
		c := slowCaller(t, s.Listener.Addr().String(), fmt.Sprintf(
			"PUT /book/0 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r%d\r\nContent-Length: %d\r\n\r\n%s", k, largeBytes, strings.Repeat("x", 70<<10)))
		callers = append(callers, c)
	}
	assertServed(t, s.URL, 100_000)
	assertWithinBudget(t, h)
	statuses := make(chan string, slowCallers)
	for _, c := range callers {
		refused.Go(func() {
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err == nil && response.StatusCode == http.StatusServiceUnavailable {
				statuses <- response.Header.Get("Retry-After")
			}
			_ = c.Close()
		})
	}
	retryAfter, err := strconv.ParseFloat(<-statuses, 64) // large work is refused before the budget is used up
	is.NoErr(err)
	is.True(retryAfter >= 0.5 && retryAfter <= 5)
	close(stop)
	refused.Wait()
	s.Close()
	assertReturned(t, h)
}

// TestStalledBody guards against a caller that stops in the middle of a short body and holds its bytes for good.
func TestStalledBody(t *testing.T) {
	for _, c := range []struct {
		deadlineMs string
		want       time.Duration
	}{
		{"2000", 2 * time.Second},
		{"9000", 4 * time.Second}, // the timeout of the route
	} {
		d := &fakeDispatcher{}
		withFixture(t, d, func(t *testing.T, f *fixture) {
			f.finishStartup()
			started := time.Now()
			_, err := io.WriteString(f.caller,
				"PUT /book/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\nDeadline: "+c.deadlineMs+"\r\nContent-Length: 1000\r\n\r\nhalf")
			is.New(t).NoErr(err)
			response, err := http.ReadResponse(f.reader, nil)
			is.New(t).NoErr(err)
			is.New(t).Equal(time.Since(started), c.want)
			assertStatus(t, response, http.StatusRequestTimeout)
			_, _ = io.Copy(io.Discard, response.Body)
			is.New(t).Equal(len(d.Admitted), 0)
		})
	}
}

// TestLargeResponseRefused guards against large downloads that are queued while the node may hold no more, and against a
// refusal of small requests then.
func TestLargeResponseRefused(t *testing.T) {
	d := &fakeDispatcher{Result: answered()}
	withFixture(t, d, func(t *testing.T, f *fixture) {
		is := is.New(t)
		f.finishStartup()
		f.Config.Configuration.Routes[0].LargeResponses = true
		var others int
		for other := f.Handler.Transfers.Open(0, 1); other.TryTake(bytebudget.Requests, 1<<18); other = f.Handler.Transfers.Open(0, 1) {
			others++
		}
		is.True(others > 0)
		response := f.get(t, "/book/1", "Request-Id: r1")
		assertStatus(t, response, http.StatusServiceUnavailable)
		is.True(response.Header.Get("Retry-After") != "")
		f.Config.Configuration.Routes[0].LargeResponses = false
		assertStatus(t, f.get(t, "/book/1", "Request-Id: r2"), http.StatusOK)
		is.Equal(len(d.Admitted), 1)
	})
}

// answered is the result of a request whose response the dispatcher has delivered.
func answered() (r table.Result) {
	r.Outcome, r.Response, r.Status, r.Evidence = fleet.Answered, true, http.StatusOK, fleet.Succeeded
	return r
}
