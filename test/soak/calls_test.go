package soak

import (
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
	virtualHost = "shop.example"
	// requestTimeout is how long a caller waits for a response.
	requestTimeout = 3 * time.Second
	// burstTimeout is how long a caller in a burst waits. It is longer than the grace period of a node.
	burstTimeout = 9 * time.Second
	// longBodyBytes is the length of a request body of which nodes keep only the start, and longBodyFraction the fraction
	// of the bookings that have one.
	longBodyBytes    = 200 << 10
	longBodyFraction = 0.3
	// maxKeptResponseBytes is longer than any response of a sound server.
	maxKeptResponseBytes = 64 << 10
	// pieceBytes and pieceInterval describe how callers send a body, as on a slow link.
	pieceBytes    = 4 << 10
	pieceInterval = 2 * time.Millisecond
)

// call is one request of a caller and its outcome.
type call struct {
	ID          string
	Path        string
	NodeAddress string
	SentAt      time.Time
	DoneAt      time.Time
	// Timeout is how long the caller waited at most.
	Timeout time.Duration
	// Status is the status code of the response, or zero if the connection ended before a complete response.
	Status int
	// ResponseMatches is true if the response is complete and is the backend server's response to this request.
	ResponseMatches bool
	// Flooded is true if the response was longer than any of a sound server.
	Flooded bool
	// HeadersReceived is true if response headers arrived from the node.
	HeadersReceived bool
	// LeavingServer is the backend server that said in the response that it is leaving.
	LeavingServer string
	// Idempotent is true if the request may be executed more than once.
	Idempotent bool
	Customer   standin.Customer
}

// callRecorder collects the calls of all callers and the violations of guarantees that are found while the fleet runs.
type callRecorder struct {
	mu         sync.Mutex
	calls      []call
	violations []string
}

func (c *callRecorder) record(result call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, result)
}

func (c *callRecorder) recordViolation(guarantee, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, guarantee+": "+detail)
}

func (c *callRecorder) snapshot() []call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]call(nil), c.calls...)
}

// caller sends requests one after another and keeps its connections open until the nodes close them.
type caller struct {
	harness  *harness
	name     string
	rng      *rand.Rand
	client   *http.Client
	customer standin.Customer
	// timeout is how long the caller waits for a response, and interval the longest time between two requests.
	timeout, interval time.Duration
	// bookingPath is the path of the requests that must not run twice.
	bookingPath string
	// entryAddresses are the addresses in the last response of the directory, cached until entriesExpireAt.
	entryAddresses  []string
	entriesExpireAt time.Time
}

func newCaller(h *harness, k int, seed uint64) *caller {
	return &caller{
		harness: h, name: fmt.Sprintf("c%d", k), customer: shopCustomer, timeout: requestTimeout,
		interval: 60 * time.Millisecond, bookingPath: "/book/x", rng: rand.New(rand.NewPCG(seed, uint64(k)+2)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}},
	}
}

func (c *caller) run(ctx context.Context) {
	for k := 0; ctx.Err() == nil; k++ {
		c.refreshEntries(ctx)
		if len(c.entryAddresses) > 0 {
			c.sendRequest(ctx, fmt.Sprintf("%s-%d", c.name, k))
		}
		c.harness.sleepRandom(ctx, c.interval)
	}
	c.client.CloseIdleConnections()
}

// refreshEntries queries the directories of the nodes in turn, starting at a random one, if the cached addresses have
// expired.
func (c *caller) refreshEntries(ctx context.Context) {
	if time.Now().Before(c.entriesExpireAt) {
		return
	}
	nodes := c.harness.nodes
	first := c.rng.IntN(len(nodes))
	for k := range nodes {
		queryCtx, cancel := context.WithTimeout(ctx, time.Second)
		resolved, err := c.queryDirectory(queryCtx, nodes[(first+k)%len(nodes)].directoryAddress)
		cancel()
		if err == nil && len(resolved.Addrs) > 0 {
			c.entryAddresses = resolved.Addrs
			c.entriesExpireAt = time.Now().Add(time.Second)
			return
		}
	}
}

type resolveResponse struct {
	Addrs []string `json:"addrs"`
}

func (c *caller) queryDirectory(ctx context.Context, directory string) (resolved resolveResponse, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, standin.ResolveURL(directory, virtualHost, "z0"), nil)
	if err != nil {
		return resolved, err
	}
	response, err := c.client.Do(r)
	if err != nil {
		return resolved, err
	}
	defer response.Body.Close()
	return resolved, json.NewDecoder(response.Body).Decode(&resolved)
}

// sendRequest sends a random kind of request and records its outcome.
func (c *caller) sendRequest(ctx context.Context, id string) {
	result := call{ID: id, NodeAddress: c.entryAddresses[c.rng.IntN(len(c.entryAddresses))], Path: c.bookingPath,
		Idempotent: false, Timeout: c.timeout, Customer: c.customer}
	method, bodyBytes := http.MethodPost, 40
	if c.rng.Float64() < longBodyFraction {
		bodyBytes = longBodyBytes
	}
	if c.rng.IntN(2) == 0 {
		result.Path, result.Idempotent, method, bodyBytes = []string{"/view/x", "/bulk/x"}[c.rng.IntN(2)], true, http.MethodGet, 0
	}
	body := standin.RequestBody(id, bodyBytes)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.timeout)
	defer cancel()
	ticker := time.NewTicker(pieceInterval)
	defer ticker.Stop()
	// net/http retries a request on a new connection if it can rewind the body; NopCloser hides GetBody to prevent that.
	r, err := http.NewRequestWithContext(ctx, method, "http://"+result.NodeAddress+result.Path,
		io.NopCloser(&pacedReader{rest: body, ticker: ticker}))
	if err != nil {
		return
	}
	r.ContentLength = int64(len(body))
	if body == "" {
		r.Body = http.NoBody
	}
	r.Host = virtualHost
	r.Header.Set("Authorization", "Bearer "+c.customer.Key)
	r.Header.Set(standin.HeaderRequestID, id)
	r.Header.Set(standin.HeaderDeadline, fmt.Sprint(c.timeout.Milliseconds()))
	result.SentAt = time.Now()
	c.doRequest(r, &result)
	result.DoneAt = time.Now()
	c.harness.calls.record(result)
}

// pacedReader returns a text in pieces, one for each tick.
type pacedReader struct {
	rest   string
	ticker *time.Ticker
}

func (p *pacedReader) Read(b []byte) (int, error) {
	if p.rest == "" {
		return 0, io.EOF
	}
	<-p.ticker.C
	n := copy(b[:min(len(b), pieceBytes)], p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

// doRequest executes the request and stores the outcome in result.
func (c *caller) doRequest(r *http.Request, result *call) {
	response, err := c.client.Do(r)
	if err != nil {
		c.entriesExpireAt = time.Time{} // query the directory again, which leaves out a failed node
		return
	}
	defer response.Body.Close()
	result.HeadersReceived = true
	if response.Header.Get(standin.HeaderLeaving) != "" {
		result.LeavingServer = response.Header.Get(standin.HeaderSignature)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxKeptResponseBytes))
	if err != nil {
		return
	}
	result.Flooded = len(body) == maxKeptResponseBytes
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return
	}
	result.Status = response.StatusCode
	result.ResponseMatches = response.Header.Get(standin.HeaderSignature) != "" && string(body) == standin.ResponseBody(result.ID) &&
		response.Header.Get(standin.HeaderRequestID) == result.ID
}
