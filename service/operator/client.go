// Package operator is the HTTP client for the operator listener of a node.
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
	// applyTimeout exceeds the 25 s within which a node responds to an apply.
	applyTimeout  = 40 * time.Second
	configTimeout = 10 * time.Second
	// maxReplyBytes bounds the memory used for the reply of a faulty node.
	maxReplyBytes = 64 << 20
)

// Client sends operator commands and queries to one node.
type Client struct {
	baseURL string
	http    *http.Client
}

// New returns a client for the operator listener at the base URL.
func New(baseURL string, client *http.Client) *Client {
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), http: client}
}

// Apply sends a configuration file to the node and returns its reply. It returns UnreachableError if the request was not
// sent, and ReplyError if it may have taken effect.
func (c *Client) Apply(ctx context.Context, request api.ApplyRequest) (api.ApplyReply, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	// Encoding a struct of strings, numbers and bytes cannot fail.
	body, _ := json.Marshal(request)
	var reply api.ApplyReply
	status, err := c.do(ctx, http.MethodPost, "/operator/apply", body, &reply)
	if err == nil && reply.Outcome == "" {
		err = ReplyError{Node: c.baseURL, Status: status}
	}
	return reply, err
}

// Revision returns the revision of the configuration file at the node, or 0 if the node does not have the file. Errors
// are always UnreachableError, because a query never takes effect.
func (c *Client) Revision(ctx context.Context, file string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	var config api.Config
	status, err := c.do(ctx, http.MethodGet, "/operator/config?file="+url.QueryEscape(file), nil, &config)
	if err == nil && status != http.StatusOK {
		err = ReplyError{Node: c.baseURL, Status: status}
	}
	if errors.As(err, &UnreachableError{}) {
		return 0, err
	}
	if err != nil {
		return 0, UnreachableError{Node: c.baseURL, Cause: err}
	}
	for _, f := range config.Files {
		if f.Name == file {
			return f.Revision, nil
		}
	}
	return 0, nil
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, into any) (int, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return 0, UnreachableError{Node: c.baseURL, Cause: err}
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, c.classifySendError(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		return response.StatusCode, ReplyError{Node: c.baseURL, Status: response.StatusCode, Cause: err}
	}
	return response.StatusCode, nil
}

// classifySendError returns UnreachableError if the connection could not be opened, which proves that nothing was sent,
// and ReplyError otherwise.
func (c *Client) classifySendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return UnreachableError{Node: c.baseURL, Cause: err}
	}
	return ReplyError{Node: c.baseURL, Cause: err}
}
