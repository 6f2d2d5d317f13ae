package strict

import (
	"context"
	"net"
	"net/http"
	"strings"
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

// RoundTrip implements http.RoundTripper. It returns StatusError for a response with a status that HTTP does not have, and
// FieldNameError for one with a name that is not valid.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close() // the response is dropped
		return nil, err
	}
	return response, nil
}

func checkHead(r *http.Response) error {
	if r.StatusCode < http.StatusContinue {
		return StatusError{Status: r.StatusCode}
	}
	return CheckFieldNames(r.Header)
}

// CheckFieldNames returns FieldNameError if a name in the head of a response holds a blank. net/http rejects names with other
// bytes that are not allowed in a token (RFC 9110, section 5.6.2), but accepts blanks, also before the colon. It does not
// recognize such a field, so that a length or a transfer encoding would not apply and the body would be another one.
func CheckFieldNames(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") {
			return FieldNameError{Name: name}
		}
	}
	return nil
}

// NewClient returns a client with the settings of http.DefaultTransport. The timeout bounds each request; zero means no
// bound.
func NewClient(timeout time.Duration) *http.Client {
	base := http.DefaultTransport.(*http.Transport).Clone()
	return &http.Client{Timeout: timeout, Transport: NewTransport(base)}
}
