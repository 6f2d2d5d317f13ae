package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/service/api"
)

// malformedResponse is a response without the status line, to which a test adds a head that is no HTTP.
const malformedResponse = "\r\n" + api.HeaderRequestID + ": request\r\nContent-Length: 4\r\n\r\nbody"

// TestMalformedHead guards against a response of a faulty server that net/http accepts although it is no HTTP, and that reaches
// a caller or counts as a passed health probe.
func TestMalformedHead(t *testing.T) {
	for _, status := range []string{"000", "000 OK", "099 Early"} {
		address := startRawServer(t, func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 "+status+malformedResponse) })
		t.Run("status "+status, func(t *testing.T) {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				assertFailed(t, send(t, context.Background(), newRequest(method, ""), address), fleet.Failed, true, &TransportError{})
			}
		})
		t.Run("status "+status+" of a health probe", func(t *testing.T) { assertProbeFails(t, address) })
	}
	for _, field := range []string{"Content-Length : 4", "Transfer-Encoding : chunked", "X Y: 1", "X\tY: 1", "X\x01Y: 1"} {
		address := startRawServer(t, func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+api.HeaderRequestID+": request\r\n"+field+"\r\n\r\nbody and more")
		})
		t.Run(fmt.Sprintf("field %q", field), func(t *testing.T) {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				assertFailed(t, send(t, context.Background(), newRequest(method, ""), address), fleet.Failed, true, &TransportError{})
			}
		})
		t.Run(fmt.Sprintf("field %q of a health probe", field), func(t *testing.T) { assertProbeFails(t, address) })
	}
}

func probe(t *testing.T, address string) table.Result {
	t.Helper()
	transport := NewTransport()
	t.Cleanup(transport.CloseIdleConnections)
	return (&Prober{Transport: transport}).Probe(context.Background(), address)
}

func assertProbeFails(t *testing.T, address string) {
	t.Helper()
	r := probe(t, address)
	is.New(t).True(r.Evidence == fleet.Failed || r.Evidence == fleet.Unreachable)
	is.New(t).True(r.Err != nil)
}

func assertProbePasses(t *testing.T, address string) {
	t.Helper()
	r := probe(t, address)
	is.New(t).NoErr(r.Err)
	is.New(t).Equal(r.Evidence, fleet.Succeeded)
}
