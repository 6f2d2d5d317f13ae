package hostfront

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/test/rawserver"
)

// uploadBytes is longer than what the sockets between caller and backend server hold, so that the upload is never complete
// when the server resets its connection.
const uploadBytes = 64 << 20

// assertNotAnswered checks that the caller gets a failure that promises nothing, or a connection that ends before the response
// is complete.
func assertNotAnswered(t *testing.T, response *http.Response, err error) {
	t.Helper()
	if err != nil {
		return
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return
	}
	is.New(t).Equal(response.StatusCode, http.StatusBadGateway)
}

// TestBrokenAnswer guards against a caller that takes a broken response of a backend server for a whole one, or is told that a
// request did not run although it may have run.
func TestBrokenAnswer(t *testing.T) {
	const fields = "Request-Id: r1\r\nSignature: s\r\n\r\n"
	responses := map[string]func(*net.TCPConn){
		"a short part of a body without a length, and a reset": rawserver.SendAndReset("HTTP/1.1 200 OK\r\n" + fields + "part"),
		"a long part of a body without a length, and a reset":  rawserver.SendAndReset("HTTP/1.1 200 OK\r\n" + fields + strings.Repeat("x", 300<<10)),
	}
	for name, head := range rawserver.MalformedHeads {
		responses[name] = rawserver.SendAndRead(head + fields + "body and more")
	}
	for name, respond := range responses {
		t.Run(name, func(t *testing.T) {
			front := newBackendFront(t, directDispatcher{Address: rawserver.New(t, respond)})
			front.Config.Handler.(*Handler).MaxBodyBytes = uploadBytes
			for range 10 {
				body := io.LimitReader(rawserver.EndlessBody{}, uploadBytes)
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, front.URL+"/book/1", body)
				is.New(t).NoErr(err)
				r.Host = "a.example"
				r.Header.Set("Request-Id", "r1")
				got, err := new(http.Transport).RoundTrip(r)
				assertNotAnswered(t, got, err)
			}
		})
	}
}
