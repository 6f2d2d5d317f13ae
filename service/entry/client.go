// Package entry is the caller's side of the fleet: it asks nodes for entries, keeps the responses for their time to
// live, and sends requests to the entries in order.
package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/load"
	"egretline.example/egretline/service/api"
)

// rankClient is the only lock of the client.
const rankClient guard.Rank = 1

// Limits of the connections to nodes.
const (
	dialTimeout         = 2 * time.Second
	idleConnTimeout     = 30 * time.Second
	idleConnsPerAddress = 512
	entriesTimeout      = 2 * time.Second
	// maxEntriesBytes bounds an entry response, which lists at most a service group.
	maxEntriesBytes = 64 << 10
)

// NoNodeError reports that no node returned entries for a service.
type NoNodeError struct {
	Service string
	Tried   int
}

func (e NoNodeError) Error() string {
	return fmt.Sprintf("none of %d nodes returned entries for service %q", e.Tried, e.Service)
}

// StatusError reports an entry response with a status other than 200.
type StatusError struct {
	Address string
	Status  int
}

func (e StatusError) Error() string {
	return fmt.Sprintf("node %s responded to GET /entries with status %d", e.Address, e.Status)
}

// place is what an entry response depends on.
type place struct {
	Service          string
	AvailabilityZone string
}

// state is what the client remembers between requests.
type state struct {
	responses map[place]load.EntryResponse
	// fetching holds a channel for each response that is being fetched. It is closed when the fetch ends.
	fetching map[place]chan struct{}
	gone     load.Gone
}

// Client sends requests of callers to a fleet.
type Client struct {
	nodes     []string
	transport http.RoundTripper
	state     *guard.Guard[state]
}

// New returns a client that asks the nodes for entries while it knows no others.
func New(nodes []string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		nodes: nodes,
		transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idleConnsPerAddress,
			IdleConnTimeout:     idleConnTimeout,
			// A compressed body would not match the digest of the backend server.
			DisableCompression: true,
		},
		state: guard.New(rankClient, state{
			responses: map[place]load.EntryResponse{},
			fetching:  map[place]chan struct{}{},
			gone:      load.Gone{},
		}),
	}
}

// Entries returns the entries of the service for a caller in the availability zone. It fetches them if the kept response
// has expired; concurrent callers share one fetch. It returns NoNodeError if no node responds.
func (c *Client) Entries(ctx context.Context, service, availabilityZone, token string) (load.EntryResponse, error) {
	p := place{Service: service, AvailabilityZone: availabilityZone}
	for {
		kept, busy, first := c.lookup(p)
		switch {
		case busy == nil:
			return kept, nil
		case first:
			fetched, err := c.fetch(ctx, p, token)
			c.store(p, fetched, err, busy)
			return fetched, err
		}
		select {
		case <-busy:
		case <-ctx.Done():
			return load.EntryResponse{}, eris.Wrap(context.Cause(ctx), "wait for entries")
		}
	}
}

// lookup returns a fresh response, or the channel of the fetch to wait for. first says that the caller has to do it.
func (c *Client) lookup(p place) (kept load.EntryResponse, busy chan struct{}, first bool) {
	c.state.Write(guard.Held{}, func(_ guard.Held, s *state) {
		kept = s.responses[p]
		if load.Fresh(kept, time.Now()) {
			return
		}
		busy = s.fetching[p]
		if busy == nil {
			first = true
			busy = make(chan struct{})
			s.fetching[p] = busy
		}
	})
	return kept, busy, first
}

func (c *Client) store(p place, r load.EntryResponse, err error, busy chan struct{}) {
	c.state.Write(guard.Held{}, func(_ guard.Held, s *state) {
		delete(s.fetching, p)
		if err == nil {
			s.responses[p] = r
		}
	})
	close(busy)
}

// forget drops the response, so that the next request asks again.
func (c *Client) forget(p place) {
	c.state.Write(guard.Held{}, func(_ guard.Held, s *state) { delete(s.responses, p) })
}

func (c *Client) markGone(address string) {
	now := time.Now()
	c.state.Write(guard.Held{}, func(_ guard.Held, s *state) { s.gone[address] = now })
}

// choose returns the next entry to try.
func (c *Client) choose(r load.EntryResponse, tried []string, keyed bool) (load.Entry, bool) {
	var entry load.Entry
	found := false
	now := time.Now()
	c.state.Read(guard.Held{}, func(_ guard.Held, s *state) {
		entry, found = load.Choose(r, s.gone, tried, keyed, now)
	})
	return entry, found
}

// fetch asks the known entries and then the first nodes, until one responds.
func (c *Client) fetch(ctx context.Context, p place, token string) (load.EntryResponse, error) {
	var known load.EntryResponse
	c.state.Read(guard.Held{}, func(_ guard.Held, s *state) { known = s.responses[p] })
	var addresses []string
	for _, e := range known.Entries {
		addresses = append(addresses, e.Address)
	}
	addresses = append(addresses, c.nodes...)
	for _, address := range addresses {
		r, err := c.fetchFrom(ctx, address, p, token)
		if err == nil && len(r.Entries) > 0 {
			return r, nil
		}
		if ctx.Err() != nil {
			return load.EntryResponse{}, eris.Wrap(context.Cause(ctx), "fetch entries")
		}
	}
	return load.EntryResponse{}, NoNodeError{Service: p.Service, Tried: len(addresses)}
}

func (c *Client) fetchFrom(ctx context.Context, address string, p place, token string) (load.EntryResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	query := url.Values{"service": {p.Service}, "availability-zone": {p.AvailabilityZone}}
	target := url.URL{Scheme: "http", Host: address, Path: "/entries", RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return load.EntryResponse{}, eris.Wrap(err, "build entry request")
	}
	request.Header.Set("Authorization", "Bearer "+token)
	// The time to live counts from before the request, so that a slow response is not kept too long.
	sent := time.Now()
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return load.EntryResponse{}, eris.Wrap(err, "get entries")
	}
	defer closeBody(response)
	if response.StatusCode != http.StatusOK {
		return load.EntryResponse{}, StatusError{Address: address, Status: response.StatusCode}
	}
	var message api.Entries
	body := http.MaxBytesReader(nil, response.Body, maxEntriesBytes)
	if err := json.NewDecoder(body).Decode(&message); err != nil {
		return load.EntryResponse{}, eris.Wrap(err, "decode entries")
	}
	return decode(message, sent), nil
}

func decode(m api.Entries, sent time.Time) load.EntryResponse {
	r := load.EntryResponse{Expires: sent.Add(time.Duration(m.TimeToLiveMs) * time.Millisecond)}
	for _, e := range m.Entries {
		r.Entries = append(r.Entries, load.Entry{Address: e.Address, KeyPrefix: e.KeyPrefix})
	}
	return r
}

// closeBody gives up the rest of a response. Its error says nothing about the request.
func closeBody(r *http.Response) {
	_ = r.Body.Close()
}
