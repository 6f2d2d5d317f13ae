// Package peerclient sends messages to other nodes.
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

	"egretline.example/egretline/internal/peer/peerapi"
)

const (
	// messageTimeout bounds one message. It is far above a round trip between zones, so that a peer which does not answer within
	// it is down, paused or cut off.
	messageTimeout = 400 * time.Millisecond
	// idleConnTimeout lets connections to registrars live between two messages.
	idleConnTimeout = 10 * time.Second
	// maxResponseBytes bounds a response. A whole registry of 11,000 servers takes about 3 MB.
	maxResponseBytes = 16 << 20
)

// StatusError reports a peer that refused a message.
type StatusError struct {
	Address string
	Status  int
}

func (e StatusError) Error() string {
	return fmt.Sprintf("node %s refused the message with status %d", e.Address, e.Status)
}

// Client sends messages to other nodes.
type Client struct {
	HTTP *http.Client
}

// New returns a client with connections of its own.
func New() *Client {
	dialer := &net.Dialer{Timeout: messageTimeout}
	return &Client{HTTP: &http.Client{Timeout: messageTimeout, Transport: &http.Transport{
		DialContext: dialer.DialContext, IdleConnTimeout: idleConnTimeout, MaxIdleConnsPerHost: 1,
	}}}
}

// Sync asks the node at the address for news.
func (c *Client) Sync(ctx context.Context, address string, m peerapi.SyncRequest) (peerapi.SyncResponse, error) {
	var response peerapi.SyncResponse
	body, err := c.post(ctx, address, peerapi.PathSync, m)
	if err != nil {
		return response, err
	}
	return response, eris.Wrap(json.Unmarshal(body, &response), "decode response of a node")
}

// SendEvidence tells the node at the address what was seen of backend servers.
func (c *Client) SendEvidence(ctx context.Context, address string, m peerapi.Evidence) error {
	_, err := c.post(ctx, address, peerapi.PathEvidence, m)
	return err
}

func (c *Client) post(ctx context.Context, address, path string, m any) ([]byte, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "encode message")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "build message")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "send message")
	}
	defer response.Body.Close() //nolint:errcheck // the body is read to its end
	received, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, eris.Wrap(err, "read response of a node")
	}
	if response.StatusCode != http.StatusOK {
		return nil, StatusError{Address: address, Status: response.StatusCode}
	}
	return received, nil
}
