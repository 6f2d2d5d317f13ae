package query

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"
)

const (
	defaultNode = "http://127.0.0.1:8082"
	outputText  = "text"
	outputJSON  = "json"

	exitUnreachable subcommands.ExitStatus = 6

	queryTimeout = 10 * time.Second
	// maxResponse bounds the memory for the response of a faulty node.
	maxResponse = 64 << 20
)

// StatusError reports a node that did not answer a query.
type StatusError struct {
	URL    string
	Status int
}

func (e StatusError) Error() string {
	return fmt.Sprintf("%s responded with status %d", e.URL, e.Status)
}

// get returns the body of a response with status 200. It returns StatusError or a wrapped net/http error.
func get(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "create query")
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, eris.Wrap(err, "query node")
	}
	defer response.Body.Close() //nolint:errcheck // only read
	if response.StatusCode != http.StatusOK {
		return nil, StatusError{URL: url, Status: response.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	return body, eris.Wrap(err, "read response")
}
