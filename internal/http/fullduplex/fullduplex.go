// Package fullduplex lets a handler respond to a caller that is still sending the body of its request. By default,
// net/http's server reads and drops the rest of the body before it writes the response headers, also if another
// goroutine is sending that body to a backend server.
package fullduplex

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// unreadBodyTimeout bounds the time for which the server waits for the rest of a body that nobody needs. Closing the
// connection earlier could reset it before the caller has read the response.
const unreadBodyTimeout = time.Second

// Exchange is a request and the writer of its response. Its body may be read by another goroutine until End returns.
type Exchange struct {
	Request *http.Request
	Writer  http.ResponseWriter

	body   *body
	writer *writer
}

// New returns the exchange that a handler must use in place of its arguments.
func New(w http.ResponseWriter, r *http.Request) Exchange {
	if r.Body == nil || r.Body == http.NoBody {
		return Exchange{Request: r, Writer: w}
	}
	// Only the server of net/http reads the body on its own, and it supports full duplex.
	_ = http.NewResponseController(w).EnableFullDuplex()
	b := &body{source: r.Body}
	// The server inspects the body of its own request at the end.
	copied := *r
	copied.Body = b
	e := Exchange{Request: &copied, body: b, writer: &writer{ResponseWriter: w, body: b}}
	e.Writer = e.writer
	return e
}

// End ends the reading of the body, and must be called before the handler returns. A read in progress is waited for, and
// later ones fail.
func (e *Exchange) End() {
	if e.body == nil || e.body.complete.Load() {
		return
	}
	control := http.NewResponseController(e.Writer)
	if e.writer.wroteHeader {
		_ = control.Flush() // the caller may wait for the response before it sends more
	}
	_ = control.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	e.body.end()
}

// EndedError reports a read of the request body after the end of the exchange.
type EndedError struct{}

func (EndedError) Error() string { return "the exchange of the request has ended" }

// body is the body of a caller's request.
type body struct {
	source io.Reader
	// complete reports whether the whole body was read.
	complete atomic.Bool

	mu    sync.Mutex // held during a read
	ended bool
}

func (b *body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return 0, EndedError{}
	}
	n, err := b.source.Read(p)
	if errors.Is(err, io.EOF) {
		b.complete.Store(true)
	}
	return n, err
}

// Close does nothing, because the server closes the body of its request.
func (*body) Close() error { return nil }

func (b *body) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
}

// writer closes the connection after a response that is sent before the body of the request was read. The rest of the
// body could otherwise be taken for the next request.
type writer struct {
	http.ResponseWriter
	body        *body
	wroteHeader bool
}

// Unwrap returns the underlying writer, as http.ResponseController requires.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	if !w.body.complete.Load() {
		w.Header().Set("Connection", "close")
	}
	w.wroteHeader = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *writer) Write(p []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}
