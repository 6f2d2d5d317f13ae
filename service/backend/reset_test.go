package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/service/api"
	"egretline.example/egretline/test/rawserver"
)

// headWithoutLength starts a response whose body ends with the connection.
const headWithoutLength = "HTTP/1.1 200 OK\r\n" + api.HeaderRequestID + ": request\r\n\r\n"

func newUpload() *http.Request {
	r := newRequest(http.MethodPost, "")
	r.Body, r.ContentLength = io.NopCloser(rawserver.EndlessBody{}), -1
	return r
}

// TestResetDuringUpload guards against a cut response that is delivered as a complete one. The transport reads the response
// and writes the request on two goroutines. If the writing one receives a reset, the reading one gets the end of the stream.
func TestResetDuringUpload(t *testing.T) {
	t.Run("a reset", func(t *testing.T) {
		address := rawserver.New(t, rawserver.SendAndReset(headWithoutLength+"part"))
		for range 100 {
			got := send(t, context.Background(), newUpload(), address)
			is.New(t).Equal(got.result.Evidence, fleet.Failed)
			is.New(t).True(got.result.Outcome != fleet.Answered)
			is.New(t).True(got.result.Sent)
		}
	})
	t.Run("the end of the stream", func(t *testing.T) {
		address := rawserver.New(t, rawserver.SendAndRead(headWithoutLength+"whole"))
		for range 100 {
			assertDelivered(t, send(t, context.Background(), newUpload(), address), "whole")
		}
	})
}

// TestCutHealthResponse guards against a health probe that passes although its response broke off.
func TestCutHealthResponse(t *testing.T) {
	for name, response := range map[string]string{
		"a reset in a body without a length": headWithoutLength + "part",
		"a body shorter than its length":     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			assertProbeFails(t, rawserver.New(t, func(c *net.TCPConn) {
				_, _ = io.WriteString(c, response)
				_ = c.SetLinger(0)
			}))
		})
	}
	for name, response := range map[string]string{
		"a body that ends with its connection": headWithoutLength + "whole",
		"a body longer than is read":           headWithoutLength + strings.Repeat("x", maxHealthBytes+1),
		"no body":                              "HTTP/1.1 204 No Content\r\n\r\n",
	} {
		t.Run(name+" passes", func(t *testing.T) {
			assertProbePasses(t, rawserver.New(t, rawserver.Send(response)))
		})
	}
}
