package backend

import (
	"context"
	"io"
	"net/http"
	"time"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/service/api"
)

const (
	healthPath = "/health"
	// maxHealthBytes bounds what is read of a health response before its connection is given up.
	maxHealthBytes = 4 << 10
)

// Prober probes the health endpoint of backend servers.
type Prober struct {
	Transport http.RoundTripper
}

// Probe returns what the health endpoint of the server shows. A context that was canceled gives no evidence.
func (p *Prober) Probe(ctx context.Context, address string) table.Result {
	started := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+healthPath, nil)
	if err != nil {
		return table.Result{Evidence: fleet.Canceled, Err: TransportError{Address: address, Err: err}}
	}
	response, err := p.Transport.RoundTrip(request)
	result := table.Result{Latency: time.Since(started)}
	if err != nil {
		result.Evidence = classify(ctx, false)
		result.Err = TransportError{Address: address, Err: err}
		return result
	}
	defer response.Body.Close() //nolint:errcheck // nothing depends on the rest of the body
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxHealthBytes))
	result.Status = response.StatusCode
	result.Leaving = response.Header.Get(api.HeaderLeaving) == "true"
	result.Evidence = fleet.Succeeded
	if response.StatusCode >= http.StatusInternalServerError {
		result.Evidence = fleet.Failed
	}
	return result
}
