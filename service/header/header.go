// Package header removes HTTP headers that must not be forwarded to the next server or client, and tells which requests net/http
// sends again by itself.
package header

import (
	"net/http"
	"strings"
)

// hopByHopHeaders lists the headers that apply to a single connection (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the hop-by-hop headers: those that apply to a single connection, and those that the Connection
// header names.
func RemoveHopByHop(h http.Header) {
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
