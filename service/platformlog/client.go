// Package platformlog is the HTTP client for the platform's append-only log service.
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
	// maxReplyBytes bounds the size of one reply, which keeps a faulty log from exhausting the memory of a node.
	maxReplyBytes = 256 << 20
	// replyTimeout is the time allowed for a reply in addition to the long poll. It detects a log that stopped replying.
	replyTimeout = 10 * time.Second
)

// Client reads and appends records of streams. It implements configcmd.Log.
type Client struct {
	baseURL string
	http    *http.Client
}

// New returns a client for the log service at the base URL.
func New(baseURL string, client *http.Client) *Client {
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), http: client}
}

// Append adds a record to the stream and returns its offset. After an UnavailableError, the record may have been appended
// or may still be appended later.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	var reply api.LogAppended
	err := c.do(ctx, "append", http.MethodPost, c.recordsURL(stream, nil), data, 0, &reply)
	return reply.Offset, err
}

// Read returns up to limit records that start at the offset from, and waits up to wait for the first one. It returns
// ExpiredError if the offset is below the oldest retained one.
func (c *Client) Read(
	ctx context.Context, stream string, from int64, limit int, wait time.Duration,
) (configcmd.Batch, error) {
	query := url.Values{
		"from":    {strconv.FormatInt(from, 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait-ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var reply api.LogRecords
	err := c.do(ctx, "read", http.MethodGet, c.recordsURL(stream, query), nil, wait, &reply)
	return newBatch(reply), err
}

// Last returns the newest record of the stream, or a batch without records if there is none.
func (c *Client) Last(ctx context.Context, stream string) (configcmd.Batch, error) {
	var reply api.LogRecords
	err := c.do(ctx, "read", http.MethodGet, c.recordsURL(stream, url.Values{"last": {"1"}}), nil, 0, &reply)
	return newBatch(reply), err
}

func (c *Client) recordsURL(stream string, query url.Values) string {
	u := c.baseURL + "/streams/" + url.PathEscape(stream) + "/records"
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
	// Without GetBody, the transport cannot replay an append by itself when a reused connection breaks.
	request.GetBody = nil
	response, err := c.http.Do(request)
	if err != nil {
		return UnavailableError{Operation: operation, Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return UnavailableError{Operation: operation, Status: response.StatusCode, Cause: err}
	}
	return decodeReply(operation, response.StatusCode, content, into)
}

func decodeReply(operation string, status int, content []byte, into any) error {
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
		return ExpiredError{OldestOffset: bounds.OldestOffset, NextOffset: bounds.NextOffset}
	default:
		return UnavailableError{Operation: operation, Status: status}
	}
}

func newBatch(reply api.LogRecords) configcmd.Batch {
	b := configcmd.Batch{OldestOffset: reply.OldestOffset, NextOffset: reply.NextOffset}
	for _, r := range reply.Records {
		b.Records = append(b.Records, configcmd.Record{Offset: r.Offset, Time: r.Time, Data: r.Data})
	}
	return b
}
