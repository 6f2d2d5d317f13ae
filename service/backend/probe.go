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
	// maxHealthBytes bounds how much of a health response is read. The connection of a longer response is not reused.
	maxHealthBytes = 4 << 10
)

// Prober sends health probes to backend servers.
type Prober struct {
	Transport http.RoundTripper
}

// Probe requests the health endpoint of the server and returns the result. A response that breaks off is a failure. A probe
// whose context was canceled has evidence Canceled, which does not count against the server.
func (p *Prober) Probe(ctx context.Context, address string) table.Result {
	started := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+healthPath, nil)
	if err != nil {
		return table.Result{Evidence: fleet.Canceled, Err: TransportError{Address: address, Err: err}}
	}
	response, err := p.Transport.RoundTrip(request)
	result := table.Result{Latency: time.Since(started)}
	if err != nil {
		result.Evidence = classifyTransportError(ctx, false)
		result.Err = TransportError{Address: address, Err: err}
		return result
	}
	defer response.Body.Close() //nolint:errcheck // the body is read to its end or abandoned
	result.Status = response.StatusCode
	result.Leaving = response.Header.Get(api.HeaderLeaving) == "true"
	result.Evidence = fleet.Succeeded
	if response.StatusCode >= http.StatusInternalServerError {
		result.Evidence = fleet.Failed
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxHealthBytes)); err != nil {
		result.Evidence = classifyTransportError(ctx, true)
		result.Err = BodyError{Address: address, Err: err}
	}
	return result
}
