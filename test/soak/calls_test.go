package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"egretline.example/egretline/platform/standin"
)

const (
	callerHost = "shop.example"
	// deadline is the time that a caller waits.
	deadline = 3 * time.Second
)

// call is one request of a caller and what became of it.
type call struct {
	ID   string
	Path string
	Node string
	Sent time.Time
	Done time.Time
	// Status is the status of the response, or zero if the connection ended without one.
	Status int
	// Whole says that the response is that of the backend server to this request.
	Whole bool
	// Connected says that a connection to the node was made.
	Connected bool
	// Safe says that the request may run more than once.
	Safe bool
}

// calls collects the calls, and the promises that were seen broken while the fleet ran.
type calls struct {
	mu     sync.Mutex
	list   []call
	broken []string
}

func (c *calls) add(one call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, one)
}

func (c *calls) fail(promise, what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = append(c.broken, promise+": "+what)
}

func (c *calls) all() []call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]call(nil), c.list...)
}

// caller sends requests one after another. It keeps its connections for as long as the nodes do.
type caller struct {
	world *world
	name  string
	rand  *rand.Rand
	http  *http.Client
	// entries is the last answer of the directory, which the caller keeps until the time.
	entries []string
	until   time.Time
}

func newCaller(w *world, k int, seed uint64) *caller {
	return &caller{
		world: w, name: fmt.Sprintf("c%d", k), rand: rand.New(rand.NewPCG(seed, uint64(k)+2)),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}},
	}
}

func (c *caller) run(ctx context.Context) {
	for k := 0; ctx.Err() == nil; k++ {
		c.resolve(ctx)
		if len(c.entries) > 0 {
			c.request(ctx, fmt.Sprintf("%s-%d", c.name, k))
		}
		c.world.pause(ctx, 60*time.Millisecond)
	}
	c.http.CloseIdleConnections()
}

// resolve asks nodes in turn where to connect.
func (c *caller) resolve(ctx context.Context) {
	if time.Now().Before(c.until) {
		return
	}
	nodes := c.world.nodes
	first := c.rand.IntN(len(nodes))
	for k := range nodes {
		asked, cancel := context.WithTimeout(ctx, time.Second)
		answer, err := c.ask(asked, nodes[(first+k)%len(nodes)].directory)
		cancel()
		if err == nil && len(answer.Addrs) > 0 {
			c.entries = answer.Addrs
			c.until = time.Now().Add(time.Second)
			return
		}
	}
}

type directoryAnswer struct {
	Addrs []string `json:"addrs"`
}

func (c *caller) ask(ctx context.Context, directory string) (answer directoryAnswer, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, standin.ResolveURL(directory, callerHost, "z0"), nil)
	if err != nil {
		return answer, err
	}
	response, err := c.http.Do(r)
	if err != nil {
		return answer, err
	}
	defer response.Body.Close()
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}

// request sends one request and records what became of it.
func (c *caller) request(ctx context.Context, id string) {
	one := call{ID: id, Node: c.entries[c.rand.IntN(len(c.entries))], Path: "/book/x", Safe: false}
	method, body := http.MethodPost, "order "+id
	if c.rand.IntN(2) == 0 {
		one.Path, one.Safe, method, body = []string{"/view/x", "/bulk/x"}[c.rand.IntN(2)], true, http.MethodGet, ""
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deadline)
	defer cancel()
	// Only a body without GetBody keeps net/http from repeating the request.
	r, err := http.NewRequestWithContext(ctx, method, "http://"+one.Node+one.Path, io.NopCloser(bytes.NewBufferString(body)))
	if err != nil {
		return
	}
	r.ContentLength = int64(len(body))
	if body == "" {
		r.Body = http.NoBody
	}
	r.Host = callerHost
	r.Header.Set(standin.HeaderRequestID, id)
	r.Header.Set(standin.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	one.Sent = time.Now()
	c.exchange(r, &one)
	one.Done = time.Now()
	c.world.calls.add(one)
}

func (c *caller) exchange(r *http.Request, one *call) {
	response, err := c.http.Do(r)
	if err != nil {
		c.until = time.Time{} // a node that failed is left out of the next choice
		return
	}
	defer response.Body.Close()
	one.Connected = true
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	one.Status = response.StatusCode
	one.Whole = response.Header.Get(standin.HeaderSignature) != "" && string(got) == standin.ResponseBody(one.ID) &&
		response.Header.Get(standin.HeaderRequestID) == one.ID
}
