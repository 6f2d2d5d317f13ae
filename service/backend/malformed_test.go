package backend

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/service/api"
	"egretline.example/egretline/test/rawserver"
)

// TestMalformedHead guards against a response of a faulty server that net/http accepts although it is no HTTP, and that reaches
// a caller or counts as a passed health probe.
func TestMalformedHead(t *testing.T) {
	for name, head := range rawserver.MalformedHeads {
		address := rawserver.New(t, rawserver.Send(head+api.HeaderRequestID+": request\r\n\r\nbody and more"))
		t.Run(name, func(t *testing.T) {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				assertFailed(t, send(t, context.Background(), newRequest(method, ""), address), fleet.Failed, true, &TransportError{})
			}
		})
		t.Run(name+" of a health response", func(t *testing.T) { assertProbeFails(t, address) })
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
