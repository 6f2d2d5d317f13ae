// Package backend sends requests and health probes to backend servers over HTTP.
package backend

import (
	"net"
	"net/http"
	"time"

	"egretline.example/egretline/internal/http/strict"
)

const (
	dialTimeout           = time.Second
	idleConnTimeout       = 60 * time.Second
	maxIdleConnsPerServer = 8
	copyBufferBytes       = 32 << 10
	// maxResponseHeaderBytes bounds the status line and headers of a response, with the interim responses before it. A
	// faulty server sends them without end.
	maxResponseHeaderBytes = 32 << 10
)

// NewTransport returns the transport for all backend servers of a node. It ignores the proxy settings of the
// environment, and passes compressed bodies through unchanged.
func NewTransport() *strict.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return strict.NewTransport(&http.Transport{
		Proxy:                  nil,
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerServer,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	})
}
