// Package platformlog is the HTTP client of the platform's append-only log service.
package platformlog

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"egretline.example/egretline/pkg/configcmd"
	"egretline.example/egretline/service/api"
)

const (
	// maxReply bounds the bytes of one reply, so that a faulty log cannot exhaust the memory of a node.
	maxReply = 256 << 20
	// replyTimeout bounds a request beyond its long poll, so that a log that stopped replying is noticed.
	replyTimeout = 10 * time.Second
)

// Client reads and appends records of streams. It implements configcmd.Log.
type Client struct {
	base string
	http *http.Client
}

// New returns a client of the log service at the base URL.
func New(base string, client *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: client}
}

// Append adds a record to the stream and returns its offset. After an UnavailableError the record may still have been
// appended, or may yet be.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	var reply api.LogAppended
	err := c.do(ctx, "append", http.MethodPost, c.records(stream, nil), data, 0, &reply)
	return reply.Offset, err
}

// Read returns records from the offset on, and waits up to wait for the first. It returns ExpiredError if the offset
// is below the oldest retained one.
func (c *Client) Read(
	ctx context.Context, stream string, from int64, limit int, wait time.Duration,
) (configcmd.Batch, error) {
	query := url.Values{
		"from":    {strconv.FormatInt(from, 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait-ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var reply api.LogRecords
	err := c.do(ctx, "read", http.MethodGet, c.records(stream, query), nil, wait, &reply)
	return batch(reply), err
}

// Last returns the newest record of the stream, or a batch without records if there is none.
func (c *Client) Last(ctx context.Context, stream string) (configcmd.Batch, error) {
	var reply api.LogRecords
	err := c.do(ctx, "read", http.MethodGet, c.records(stream, url.Values{"last": {"1"}}), nil, 0, &reply)
	return batch(reply), err
}

func (c *Client) records(stream string, query url.Values) string {
	u := c.base + "/streams/" + url.PathEscape(stream) + "/records"
	if len(query) > 0 {
		u += "?" + query.Encode()
	}
	return u
}

func (c *Client) do(
	ctx context.Context, operation, method, target string, body []byte, wait time.Duration, into any,
) error {
	ctx, cancel := context.WithTimeout(ctx, wait+replyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return UnavailableError{Operation: operation, Cause: err}
	}
	// Without GetBody the transport cannot replay an append on its own when a reused connection breaks.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil {
		return UnavailableError{Operation: operation, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return UnavailableError{Operation: operation, Status: response.StatusCode, Cause: err}
	}
	return decode(operation, response.StatusCode, content, into)
}

func decode(operation string, status int, content []byte, into any) error {
	switch status {
	case http.StatusOK:
		if err := json.Unmarshal(content, into); err != nil {
			return UnavailableError{Operation: operation, Status: status, Cause: err}
		}
		return nil
	case http.StatusGone:
		var bounds api.LogRecords
		if err := json.Unmarshal(content, &bounds); err != nil {
			return UnavailableError{Operation: operation, Status: status, Cause: err}
		}
		return ExpiredError{First: bounds.First, Next: bounds.Next}
	default:
		return UnavailableError{Operation: operation, Status: status}
	}
}

func batch(reply api.LogRecords) configcmd.Batch {
	b := configcmd.Batch{First: reply.First, Next: reply.Next}
	for _, r := range reply.Records {
		b.Records = append(b.Records, configcmd.Record{Offset: r.Offset, Time: r.Time, Data: r.Data})
	}
	return b
}
