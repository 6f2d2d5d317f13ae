// Package operator is the HTTP client of a node's operator listener.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"egretline.example/egretline/service/api"
)

const (
	// applyTimeout is longer than the 25 s in which a node answers an apply.
	applyTimeout  = 40 * time.Second
	configTimeout = 10 * time.Second
	// maxReply bounds the memory for the reply of a faulty node in bytes.
	maxReply = 64 << 20
)

// Client talks to one node.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the operator listener at the base URL.
func New(base string, client *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: client}
}

// Apply sends the file to the node and returns what became of it. It returns UnreachableError if the request was not
// sent, and ReplyError if it may have taken effect.
func (c *Client) Apply(ctx context.Context, request api.ApplyRequest) (api.ApplyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	// A struct of strings, numbers and bytes always encodes.
	body, _ := json.Marshal(request)
	var reply api.ApplyReply
	status, err := c.do(ctx, http.MethodPost, "/operator/apply", body, &reply)
	if err == nil && reply.Outcome == "" {
		err = ReplyError{Node: c.base, Status: status}
	}
	return reply, err
}

// Revision returns the revision of the configuration file at the node, or 0 if it has none. The error of a query is
// always UnreachableError, because it changes nothing.
func (c *Client) Revision(ctx context.Context, file string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	var config api.Config
	status, err := c.do(ctx, http.MethodGet, "/operator/config?file="+url.QueryEscape(file), nil, &config)
	if err == nil && status != http.StatusOK {
		err = ReplyError{Node: c.base, Status: status}
	}
	if errors.As(err, &UnreachableError{}) {
		return 0, err
	}
	if err != nil {
		return 0, UnreachableError{Node: c.base, Cause: err}
	}
	for _, f := range config.Files {
		if f.Name == file {
			return f.Revision, nil
		}
	}
	return 0, nil
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, into any) (int, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, UnreachableError{Node: c.base, Cause: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, c.unsent(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err == nil {
		err = json.Unmarshal(content, into)
	}
	if err != nil {
		return response.StatusCode, ReplyError{Node: c.base, Status: response.StatusCode, Cause: err}
	}
	return response.StatusCode, nil
}

// unsent tells a connection that could not be made, after which nothing was sent, from other failures.
func (c *Client) unsent(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return UnreachableError{Node: c.base, Cause: err}
	}
	return ReplyError{Node: c.base, Cause: err}
}
