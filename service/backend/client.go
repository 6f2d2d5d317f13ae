// Package backend sends requests and health probes to backend servers over HTTP.
package backend

import (
	"net"
	"net/http"
	"time"
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
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		Proxy:                  nil,
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerServer,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}
