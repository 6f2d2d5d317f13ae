// Package peerclient sends requests to other nodes.
package peerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"egretline.example/egretline/internal/http/strict"
	"egretline.example/egretline/internal/peer/peerapi"
)

const (
	// messageTimeout bounds one request. It is far above the round-trip time between zones, and a peer that does not
	// respond in time is down, paused or partitioned.
	messageTimeout = 400 * time.Millisecond
	// idleConnTimeout keeps connections to registrars open between two sync requests.
	idleConnTimeout = 10 * time.Second
	// maxResponseBytes bounds a response. A complete registry of 11,000 servers takes about 3 MB.
	maxResponseBytes = 16 << 20
)

// StatusError reports a peer that rejected a request.
type StatusError struct {
	Address string
	Status  int
}

func (e StatusError) Error() string {
	return fmt.Sprintf("node %s rejected the request with status %d", e.Address, e.Status)
}

// Client sends requests to other nodes.
type Client struct {
	HTTP *http.Client
}

// New returns a client with its own connection pool.
func New() *Client {
	dialer := &net.Dialer{Timeout: messageTimeout}
	return &Client{HTTP: &http.Client{Timeout: messageTimeout, Transport: strict.NewTransport(&http.Transport{
		DialContext: dialer.DialContext, IdleConnTimeout: idleConnTimeout, MaxIdleConnsPerHost: 1,
	})}}
}

// Sync requests membership and replica updates from the node at the address.
func (c *Client) Sync(ctx context.Context, address string, m peerapi.SyncRequest) (peerapi.SyncResponse, error) {
	var response peerapi.SyncResponse
	body, err := c.post(ctx, address, peerapi.PathSync, m)
	if err != nil {
		return response, err
	}
	return response, eris.Wrap(json.Unmarshal(body, &response), "decode peer response")
}

// SendEvidence sends evidence about backend servers to the node at the address.
func (c *Client) SendEvidence(ctx context.Context, address string, m peerapi.Evidence) error {
	_, err := c.post(ctx, address, peerapi.PathEvidence, m)
	return err
}

// SendReport sends a periodic report to the node at the address, and returns the report with which that node answers.
func (c *Client) SendReport(ctx context.Context, address string, m peerapi.Report) (peerapi.Report, error) {
	var answer peerapi.Report
	body, err := c.post(ctx, address, peerapi.PathReport, m)
	if err != nil {
		return answer, err
	}
	return answer, eris.Wrap(json.Unmarshal(body, &answer), "decode answer to report")
}

// Grant asks the node at the address to accept a request of a customer in place of this node.
func (c *Client) Grant(ctx context.Context, address string, m peerapi.GrantRequest) (peerapi.GrantResponse, error) {
	var response peerapi.GrantResponse
	body, err := c.post(ctx, address, peerapi.PathGrant, m)
	if err != nil {
		return response, err
	}
	return response, eris.Wrap(json.Unmarshal(body, &response), "decode answer to request for a grant")
}

func (c *Client) post(ctx context.Context, address, path string, m any) ([]byte, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "encode peer request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build peer request")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "send peer request")
	}
	defer response.Body.Close() //nolint:errcheck // the body is read to its end
	received, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, eris.Wrap(err, "read peer response")
	}
	if response.StatusCode != http.StatusOK {
		return nil, StatusError{Address: address, Status: response.StatusCode}
	}
	return received, nil
}
