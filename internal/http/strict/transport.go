package strict

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Transport is an http.RoundTripper that fails requests whose responses are broken.
type Transport struct {
	*http.Transport
}

// NewTransport returns a transport with the settings of base, which must not be used by itself afterwards. Connections are
// those of its DialContext, or plain TCP connections if that is nil.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{Transport: base}
}

// RoundTrip implements http.RoundTripper. It returns StatusError for a response with a status that HTTP does not have.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if response.StatusCode < http.StatusContinue {
		_ = response.Body.Close() // the response is dropped
		return nil, StatusError{Status: response.StatusCode}
	}
	return response, nil
}

// NewClient returns a client with the settings of http.DefaultTransport. The timeout bounds each request; zero means no
// bound.
func NewClient(timeout time.Duration) *http.Client {
	base := http.DefaultTransport.(*http.Transport).Clone()
	return &http.Client{Timeout: timeout, Transport: NewTransport(base)}
}
