// Package entry is a client of the fleet. It fetches the entries of a service, which are the nodes to send its requests
// to, caches them for their time to live, and sends requests to them in order of preference.
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

	"egretline.example/egretline/internal/http/strict"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/load"
	"egretline.example/egretline/service/api"
)

// rankClient is the rank of the client's only lock.
const rankClient guard.Rank = 1

// Limits of the connections to nodes.
const (
	dialTimeout            = 2 * time.Second
	idleConnTimeout        = 30 * time.Second
	maxIdleConnsPerAddress = 512
	entriesTimeout         = 2 * time.Second
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

// cacheKey identifies a cached response with entries.
type cacheKey struct {
	Service          string
	AvailabilityZone string
}

// clientState is the state that requests share: cached responses, fetches in progress and unreachable nodes.
type clientState struct {
	responses map[cacheKey]load.EntryResponse
	// fetching holds a channel for each fetch in progress, which is closed when the fetch ends.
	fetching    map[cacheKey]chan struct{}
	unreachable load.ConnectFailures
}

// Client sends requests of callers to a fleet.
type Client struct {
	seedNodes []string
	transport http.RoundTripper
	state     *guard.Guard[clientState]
}

// New returns a client that fetches entries from known entries first, and from the seed nodes if none of those
// responds.
func New(seedNodes []string) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		seedNodes: seedNodes,
		transport: strict.NewTransport(&http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerAddress,
			IdleConnTimeout:     idleConnTimeout,
			// The transport would remove the compression, and the body would not match the digest of the backend
			// server.
			DisableCompression: true,
		}),
		state: guard.New(rankClient, clientState{
			responses:   map[cacheKey]load.EntryResponse{},
			fetching:    map[cacheKey]chan struct{}{},
			unreachable: load.ConnectFailures{},
		}),
	}
}

// Entries returns the entries of the service for a caller in the availability zone. It fetches them if the cached
// response has expired; concurrent callers share one fetch. It returns NoNodeError if no node returns entries.
func (c *Client) Entries(ctx context.Context, service, availabilityZone, token string) (load.EntryResponse, error) {
	key := cacheKey{Service: service, AvailabilityZone: availabilityZone}
	for {
		cached, fetchDone, first := c.lookup(key)
		switch {
		case fetchDone == nil:
			return cached, nil
		case first:
			fetched, err := c.fetch(ctx, key, token)
			c.finishFetch(key, fetched, err, fetchDone)
			return fetched, err
		}
		select {
		case <-fetchDone:
		case <-ctx.Done():
			return load.EntryResponse{}, eris.Wrap(context.Cause(ctx), "wait for entries")
		}
	}
}

// lookup returns the cached response if it has not expired. Otherwise it returns a channel that is closed when the
// fetch ends; if first is true, the caller must do this fetch.
func (c *Client) lookup(key cacheKey) (cached load.EntryResponse, fetchDone chan struct{}, first bool) {
	c.state.Write(guard.Held{}, func(_ guard.Held, s *clientState) {
		cached = s.responses[key]
		if load.IsFresh(cached, time.Now()) {
			return
		}
		fetchDone = s.fetching[key]
		if fetchDone == nil {
			first = true
			fetchDone = make(chan struct{})
			s.fetching[key] = fetchDone
		}
	})
	return cached, fetchDone, first
}

// finishFetch caches the response unless the fetch failed, and wakes the callers that wait for it.
func (c *Client) finishFetch(key cacheKey, r load.EntryResponse, err error, fetchDone chan struct{}) {
	c.state.Write(guard.Held{}, func(_ guard.Held, s *clientState) {
		delete(s.fetching, key)
		if err == nil {
			s.responses[key] = r
		}
	})
	close(fetchDone)
}

// evict removes the cached response. The next request then fetches the entries again.
func (c *Client) evict(key cacheKey) {
	c.state.Write(guard.Held{}, func(_ guard.Held, s *clientState) { delete(s.responses, key) })
}

func (c *Client) markUnreachable(address string) {
	now := time.Now()
	c.state.Write(guard.Held{}, func(_ guard.Held, s *clientState) { s.unreachable[address] = now })
}

// chooseEntry returns the next entry to try, or false if none is left.
func (c *Client) chooseEntry(r load.EntryResponse, tried []string, keyed bool) (load.Entry, bool) {
	var entry load.Entry
	found := false
	now := time.Now()
	c.state.Read(guard.Held{}, func(_ guard.Held, s *clientState) {
		entry, found = load.ChooseEntry(r, s.unreachable, tried, keyed, now)
	})
	return entry, found
}

// fetch requests the entries from the nodes in the expired response, then from the seed nodes, until one returns
// entries.
func (c *Client) fetch(ctx context.Context, key cacheKey, token string) (load.EntryResponse, error) {
	var known load.EntryResponse
	c.state.Read(guard.Held{}, func(_ guard.Held, s *clientState) { known = s.responses[key] })
	var addresses []string
	for _, e := range known.Entries {
		addresses = append(addresses, e.Address)
	}
	addresses = append(addresses, c.seedNodes...)
	for _, address := range addresses {
		r, err := c.fetchFrom(ctx, address, key, token)
		if err == nil && len(r.Entries) > 0 {
			return r, nil
		}
		if ctx.Err() != nil {
			return load.EntryResponse{}, eris.Wrap(context.Cause(ctx), "fetch entries")
		}
	}
	return load.EntryResponse{}, NoNodeError{Service: key.Service, Tried: len(addresses)}
}

func (c *Client) fetchFrom(ctx context.Context, address string, key cacheKey, token string) (load.EntryResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	query := url.Values{"service": {key.Service}, "availability-zone": {key.AvailabilityZone}}
	target := url.URL{Scheme: "http", Host: address, Path: "/entries", RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return load.EntryResponse{}, eris.Wrap(err, "build entry request")
	}
	request.Header.Set("Authorization", "Bearer "+token)
	// The time to live counts from before the request. Otherwise, a slow response would be cached for too long.
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
	return decodeEntries(message, sent), nil
}

func decodeEntries(m api.Entries, sent time.Time) load.EntryResponse {
	r := load.EntryResponse{Expires: sent.Add(time.Duration(m.TimeToLiveMs) * time.Millisecond)}
	for _, e := range m.Entries {
		r.Entries = append(r.Entries, load.Entry{Address: e.Address, KeyPrefix: e.KeyPrefix})
	}
	return r
}

// closeBody closes the response body without reading the rest. The error is ignored because it does not affect the
// result.
func closeBody(r *http.Response) {
	_ = r.Body.Close()
}
