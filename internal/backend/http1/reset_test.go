package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/test/rawserver"
)

// serveWithoutLength returns a connection handler that responds to the head of a request with a body that ends with the
// connection, and ends that when proceed is closed.
func serveWithoutLength(body string, proceed <-chan struct{}, end func(*net.TCPConn)) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n\r\n"+body)
		<-proceed
		end(c.(*net.TCPConn))
	}
}

// reset sends a reset in place of the end of the stream.
func reset(c *net.TCPConn) { _ = c.SetLinger(0) } // the caller closes the connection

// finishAndRead ends the stream and reads on until the client closes the connection.
func finishAndRead(c *net.TCPConn) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, c)
}

// finishAndReset ends the stream, and resets the connection because the server does not read the rest of the request.
func finishAndReset(c *net.TCPConn) {
	_ = c.CloseWrite()
	reset(c)
}

// newUpload returns the exchange of a request with an endless body, on a node that may hold the given number of bytes.
func newUpload(hostBytes int64) (*Exchange, *strings.Builder) {
	e, w := newExchange(NewPool(), "r1", false)
	var received strings.Builder
	e.Delivery = NewDelivery(bodyWriter{w, &received}, newAccount(hostBytes))
	e.Request.ContentLength, e.RemainingBody = -1, rawserver.EndlessBody{}
	return e, &received
}

// bodyWriter is a response writer whose body goes to another writer.
type bodyWriter struct {
	http.ResponseWriter
	body io.Writer
}

func (w bodyWriter) Write(p []byte) (int, error) { return w.body.Write(p) }

// TestResetDuringUpload guards against a cut response that is delivered as a complete one. The kernel reports a reset once.
// If the goroutine that sends the rest of the request gets it, the one that reads the response gets the end of the stream,
// which completes a body without a length.
func TestResetDuringUpload(t *testing.T) {
	for _, c := range []struct {
		name    string
		body    string
		end     func(*net.TCPConn)
		sendErr error
	}{
		{"a reset after a short part of the body", "part", reset, syscall.ECONNRESET},
		{"a reset after more than is buffered", strings.Repeat("x", maxBufferedResponseBytes+1), reset, syscall.ECONNRESET},
		{"the end of the stream", "whole", finishAndRead, nil},
		{"the end of the stream and then a reset", "whole", finishAndReset, syscall.EPIPE},
	} {
		t.Run(c.name+", found by the sender of the request", func(t *testing.T) {
			is := is.New(t)
			proceed := make(chan struct{})
			b := newTestBackend(t, serveWithoutLength(c.body, proceed, c.end))
			e, received := newUpload(int64(len(c.body)) / 2) // the body is not buffered before Deliver
			is.True(e.Send(context.Background(), b.Server).Response)
			close(proceed)
			if c.sendErr != nil {
				<-e.upload.done
				is.True(errors.Is(e.upload.err, c.sendErr))
			}
			r := deliver(e)
			if errors.Is(c.sendErr, syscall.ECONNRESET) {
				is.True(r.Aborted)
				is.Equal(r.Outcome, fleet.Unknown)
				is.Equal(r.Evidence, fleet.Failed)
				return
			}
			is.NoErr(r.Err)
			is.Equal(received.String(), c.body)
		})
	}
	proceed := make(chan struct{})
	close(proceed)
	t.Run("a reset while the response is buffered", func(t *testing.T) {
		for range 100 {
			b := newTestBackend(t, serveWithoutLength("part", proceed, reset))
			e, _ := newUpload(hostBytes)
			r := sendAndDeliver(e, b.Server)
			assertFailed(t, r, fleet.Failed, true)
			is.New(t).True(r.BodyLost)
		}
	})
	t.Run("the end of the stream while the response is buffered", func(t *testing.T) {
		for _, end := range []func(*net.TCPConn){finishAndRead, finishAndReset} {
			for range 100 {
				b := newTestBackend(t, serveWithoutLength("whole", proceed, end))
				e, received := newUpload(hostBytes)
				is.New(t).NoErr(sendAndDeliver(e, b.Server).Err)
				is.New(t).Equal(received.String(), "whole")
			}
		}
	})
}
