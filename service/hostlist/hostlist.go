// Package hostlist is the HTTP client for the platform's host list.
package hostlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/service/api"
)

// maxListBytes bounds the memory used for a faulty host list. A host takes about 200 bytes, so a list of 840 hosts is
// far smaller.
const maxListBytes = 4 << 20

// List holds the contents of one version of the host list.
type List struct {
	Hosts                 []fleet.Host
	BackendServersLeaving []string
	// ETag identifies the version; it is empty before the first fetch.
	ETag string
}

// Client fetches the host list. URL is the base URL of the platform's service without a trailing slash.
type Client struct {
	URL  string
	HTTP *http.Client
}

// UnreachableError reports that the host list service sent no response.
type UnreachableError struct {
	URL   string
	Cause error
}

func (e UnreachableError) Error() string {
	return fmt.Sprintf("host list %s is unreachable: %v", e.URL, e.Cause)
}

// Unwrap returns the error of the transport.
func (e UnreachableError) Unwrap() error { return e.Cause }

// StatusError reports a response with an unexpected status.
type StatusError struct {
	URL    string
	Status int
}

func (e StatusError) Error() string {
	return fmt.Sprintf("host list %s responded with status %d", e.URL, e.Status)
}

// DecodeError reports a list that is truncated or is not valid JSON of the expected form.
type DecodeError struct {
	URL   string
	Cause error
}

func (e DecodeError) Error() string {
	return fmt.Sprintf("host list %s sent an invalid list: %v", e.URL, e.Cause)
}

// Unwrap returns the error of the decoder.
func (e DecodeError) Unwrap() error { return e.Cause }

// Fetch returns the current list, or the previous one if it has not changed since. With an error, which is
// UnreachableError, StatusError or DecodeError, it returns the previous list.
func (c *Client) Fetch(ctx context.Context, previous List) (List, error) {
	url := c.URL + "/hosts"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return previous, eris.Wrap(UnreachableError{URL: url, Cause: err}, "create host list request")
	}
	if previous.ETag != "" {
		req.Header.Set("If-None-Match", previous.ETag)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return previous, eris.Wrap(UnreachableError{URL: url, Cause: err}, "fetch host list")
	}
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return previous, nil
	case http.StatusOK:
		return decodeList(url, resp, previous)
	default:
		return previous, eris.Wrap(StatusError{URL: url, Status: resp.StatusCode}, "fetch host list")
	}
}

func decodeList(url string, resp *http.Response, previous List) (List, error) {
	var m api.HostList
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(&m); err != nil {
		return previous, eris.Wrap(DecodeError{URL: url, Cause: err}, "decode host list")
	}
	l := List{BackendServersLeaving: m.BackendServersLeaving, ETag: resp.Header.Get("ETag")}
	for _, h := range m.Hosts {
		l.Hosts = append(l.Hosts, fleet.Host(h))
	}
	return l, nil
}
