// Package backend speaks HTTP to backend servers.
package backend

import (
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout     = time.Second
	idleTimeout     = 60 * time.Second
	idlePerServer   = 8
	copyBufferBytes = 32 << 10
)

// NewTransport returns the transport for all backend servers of a node. It does not follow proxies of the environment
// and does not decompress, so that bodies pass through unchanged.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		Proxy:               nil,
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: idlePerServer,
		IdleConnTimeout:     idleTimeout,
	}
}
