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

	body *body
}

// New returns the exchange that a handler must use in place of its arguments.
func New(w http.ResponseWriter, r *http.Request) Exchange {
	if r.Body == nil || r.Body == http.NoBody {
		return Exchange{Request: r, Writer: w}
	}
	b := &body{source: r.Body, control: http.NewResponseController(w)}
	// The server inspects the body of its own request at the end.
	copied := *r
	copied.Body = b
	return Exchange{Request: &copied, Writer: &writer{ResponseWriter: w, body: b}, body: b}
}

// End ends the reading of the body, and must be called before the handler returns. A read in progress is waited for, and
// later ones fail.
func (e *Exchange) End() {
	if e.body != nil {
		e.body.end()
	}
}

// EndedError reports a read of the request body that began after the response, or after the end of the exchange.
type EndedError struct{}

func (EndedError) Error() string { return "the exchange of the request has ended" }

// body is the body of a caller's request. Full duplex is enabled when the reading begins: the server of net/http panics
// at the next request of the connection if it is enabled for a body that nobody reads.
type body struct {
	source  io.Reader
	control *http.ResponseController
	// complete reports whether the whole body was read.
	complete atomic.Bool

	reading sync.Mutex // held during a read

	mu        sync.Mutex // guards the fields below, and is not held during a read
	started   bool
	responded bool
	ended     bool
}

func (b *body) Read(p []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if !b.begin() {
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

// begin reports whether the body may be read.
func (b *body) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || b.responded && !b.started {
		return false
	}
	if !b.started {
		// Only the server of net/http reads the body on its own, and it supports full duplex.
		_ = b.control.EnableFullDuplex()
		b.started = true
	}
	return true
}

// respond records that the response headers are being written. It reports whether the body is only partly read.
func (b *body) respond() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.responded = true
	return b.started && !b.complete.Load()
}

func (b *body) end() {
	b.mu.Lock()
	b.ended = true
	partlyRead, responded := b.started && !b.complete.Load(), b.responded
	b.mu.Unlock()
	if !partlyRead {
		return
	}
	if responded {
		_ = b.control.Flush() // the caller may wait for the response before it sends more
	}
	_ = b.control.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	b.awaitRead()
}

// awaitRead blocks until no read is in progress.
func (b *body) awaitRead() {
	b.reading.Lock()
	defer b.reading.Unlock()
}

// writer closes the connection after a response that is sent while the body of the request is being read. The rest of the
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
	if w.body.respond() {
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
