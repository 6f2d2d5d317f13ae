// Package header holds the rules of HTTP headers that all edges share.
package header

import (
	"net/http"
	"strings"
)

// hop lists the headers of a single connection (RFC 9110, section 7.6.1).
var hop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// RemoveHop removes the headers of a single connection, which are not passed on.
func RemoveHop(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hop {
		h.Del(name)
	}
}
