// Package hostlist is the client of the platform's host list.
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

// maxListBytes bounds the memory that a faulty host list can cost. A host takes about 200 bytes, so 840 hosts fit many
// times.
const maxListBytes = 4 << 20

// List is the contents of the host list at one fetch.
type List struct {
	Hosts                 []fleet.Host
	BackendServersLeaving []string
	// ETag identifies these contents; empty before the first fetch.
	ETag string
}

// Client fetches the host list from the URL of the platform's service, without a trailing slash.
type Client struct {
	URL  string
	HTTP *http.Client
}

// UnreachableError reports that no response came from the host list.
type UnreachableError struct {
	URL   string
	Cause error
}

func (e UnreachableError) Error() string {
	return fmt.Sprintf("host list %s is unreachable: %v", e.URL, e.Cause)
}

// Unwrap returns the error of the transport.
func (e UnreachableError) Unwrap() error { return e.Cause }

// StatusError reports a response of the host list that is not a list.
type StatusError struct {
	URL    string
	Status int
}

func (e StatusError) Error() string {
	return fmt.Sprintf("host list %s responded with status %d", e.URL, e.Status)
}

// DecodeError reports a list that is not valid JSON of the expected form, or that is cut short.
type DecodeError struct {
	URL   string
	Cause error
}

func (e DecodeError) Error() string {
	return fmt.Sprintf("host list %s sent an invalid list: %v", e.URL, e.Cause)
}

// Unwrap returns the error of the decoder.
func (e DecodeError) Unwrap() error { return e.Cause }

// Fetch returns the current list, or the previous one if it has not changed since. Errors are UnreachableError,
// StatusError and DecodeError; with an error the previous list stays in force.
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
		return decode(url, resp, previous)
	default:
		return previous, eris.Wrap(StatusError{URL: url, Status: resp.StatusCode}, "fetch host list")
	}
}

func decode(url string, resp *http.Response, previous List) (List, error) {
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
