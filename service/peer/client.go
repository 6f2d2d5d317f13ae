// Package peer is the HTTP client for other nodes. It sends heartbeats, fetches configurations and forwards requests.
package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"egretline.example/egretline/internal/http/strict"
	"egretline.example/egretline/pkg/configrecord"
	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/service/api"
)

const (
	// dialTimeout allows for many round trips between zones; a node that takes longer counts as unreachable.
	dialTimeout         = time.Second
	idleTimeout         = 60 * time.Second
	maxIdleConnsPerNode = 16
	// maxConfigBytes bounds the memory used for the reply of a faulty peer.
	maxConfigBytes = 64 << 20
)

// Dialer opens connections to nodes, with TLS if it is configured.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends messages to other nodes.
type Client struct {
	Transport http.RoundTripper
}

// NewTransport returns the transport for messages between nodes. A nil dial opens plain TCP connections.
func NewTransport(dial Dialer) *strict.Transport {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	// URLs have the scheme http even with TLS, because the dialer performs the handshake.
	return strict.NewTransport(&http.Transport{
		Proxy:               nil,
		DialContext:         dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnsPerNode,
		IdleConnTimeout:     idleTimeout,
	})
}

// SendHeartbeat sends a heartbeat to a node. It returns UnreachableError or StatusError.
func (c *Client) SendHeartbeat(ctx context.Context, to fleet.Host, b api.Heartbeat) error {
	// Encoding a struct of strings and numbers cannot fail.
	body, _ := json.Marshal(b)
	resp, err := c.do(ctx, to, http.MethodPost, api.PathHeartbeat, body)
	if err != nil {
		return err
	}
	defer drainAndClose(resp)
	if resp.StatusCode != http.StatusNoContent {
		return eris.Wrap(StatusError{HostID: to.ID, Path: api.PathHeartbeat, Status: resp.StatusCode}, "send heartbeat")
	}
	return nil
}

// FetchConfig fetches the folded configuration of a node. It returns UnreachableError, StatusError, BodyError or
// configrecord.MalformedError.
func (c *Client) FetchConfig(ctx context.Context, from fleet.Host) (fold.State, error) {
	resp, err := c.do(ctx, from, http.MethodGet, api.PathPeerConfig, nil)
	if err != nil {
		return fold.State{}, err
	}
	defer drainAndClose(resp)
	if resp.StatusCode != http.StatusOK {
		return fold.State{}, eris.Wrap(StatusError{HostID: from.ID, Path: api.PathPeerConfig, Status: resp.StatusCode}, "fetch configuration")
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxConfigBytes))
	if err != nil {
		return fold.State{}, eris.Wrap(BodyError{HostID: from.ID, Cause: err}, "fetch configuration")
	}
	return configrecord.DecodeState(data)
}

func (c *Client) do(ctx context.Context, to fleet.Host, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to.PeerAddress+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(UnreachableError{HostID: to.ID, Address: to.PeerAddress, Cause: err}, "create request")
	}
	resp, err := c.Transport.RoundTrip(req)
	if err != nil {
		return nil, eris.Wrap(UnreachableError{HostID: to.ID, Address: to.PeerAddress, Cause: err}, "send request")
	}
	return resp, nil
}

// drainAndClose reads the rest of a short body, which allows reuse of the connection, and closes it.
func drainAndClose(resp *http.Response) {
	const limit = 4 << 10
	_, _ = io.CopyN(io.Discard, resp.Body, limit)
	_ = resp.Body.Close()
}
