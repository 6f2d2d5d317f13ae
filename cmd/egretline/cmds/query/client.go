package query

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"egretline.example/egretline/internal/http/strict"
)

const (
	defaultNode = "http://127.0.0.1:8082"
	outputText  = "text"
	outputJSON  = "json"

	exitUnreachable subcommands.ExitStatus = 6

	queryTimeout = 10 * time.Second
	// maxResponseBytes bounds the memory that the response of a faulty node can take.
	maxResponseBytes = 64 << 20
)

// StatusError reports a query to which a node responded with a status other than 200.
type StatusError struct {
	URL    string
	Status int
}

func (e StatusError) Error() string {
	return fmt.Sprintf("%s responded with status %d", e.URL, e.Status)
}

// get sends a GET request and returns the response body. It returns StatusError for a status other than 200, and a
// wrapped net/http error if the request fails.
func get(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, eris.Wrap(err, "create query")
	}
	response, err := strict.NewClient(0).Do(r)
	if err != nil {
		return nil, eris.Wrap(err, "query node")
	}
	defer response.Body.Close() //nolint:errcheck // only read
	if response.StatusCode != http.StatusOK {
		return nil, StatusError{URL: url, Status: response.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return body, eris.Wrap(err, "read response")
}
