package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// countedResponse is a response of arrivalCounter, and what happens to the connection after it.
type countedResponse struct {
	Text         string
	Close, Reset bool
}

// arrivalCounter is a server that counts the requests that reach it, by ID, and gives them the responses in their order.
type arrivalCounter struct {
	Responses []countedResponse

	mu       sync.Mutex
	arrivals map[string]int
	answered int
}

// count counts an arrival and returns the next response.
func (a *arrivalCounter) count(id string) countedResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrivals[id]++
	response := countedResponse{Text: responseText(id, "200 OK", "x")}
	if a.answered < len(a.Responses) {
		response = a.Responses[a.answered]
	}
	a.answered++
	return response
}

func (a *arrivalCounter) serve(c net.Conn, r *bufio.Reader) {
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		response := a.count(q.Header.Get("Request-Id"))
		_, err = io.WriteString(c, response.Text)
		if response.Reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		if err != nil || response.Close || response.Reset {
			return
		}
	}
}

// Guards against arrivals at a backend server that the retry budget is not charged for: an attempt is one arrival at most,
// whatever the server does with its connections.
func TestArrivalsProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		requests := rapid.IntRange(1, 6).Draw(rt, "requests")
		server := &arrivalCounter{arrivals: map[string]int{}}
		for k := range requests {
			id := fmt.Sprint(k)
			server.Responses = append(server.Responses, rapid.SampledFrom([]countedResponse{
				{Close: true}, {Reset: true}, {Text: "HTTP/1.1 2", Close: true}, {Text: "HTTP/1.1 2", Reset: true},
				{Text: responseText(id, "200 OK", "x")}, {Text: responseText(id, "200 OK", "x"), Close: true},
				{Text: responseText(id, "503 Service Unavailable", "", "Not-Executed: 1")},
				{Text: responseText(id, "500 Internal Server Error", "")},
			}).Draw(rt, "response"))
		}
		b := newTestBackend(t, server.serve)
		p := NewPool()
		for k := range requests {
			e, _ := newExchange(p, fmt.Sprint(k), rapid.Bool().Draw(rt, "idempotent"))
			sendAndDeliver(e, b.Server)
		}
		server.mu.Lock()
		defer server.mu.Unlock()
		for id, count := range server.arrivals {
			is.New(t).Equal(fmt.Sprint("request ", id, " arrived ", count), fmt.Sprint("request ", id, " arrived ", 1))
		}
	})
}
