package backend

import (
	"net/http"

	"egretline.example/egretline/service/api"
	"egretline.example/egretline/service/header"
)

// ownHeaders are set by the node. They are removed from callers' requests, so that a caller cannot pose as another
// tenant. The bearer token is between caller and node only.
var ownHeaders = []string{
	api.HeaderTenant, api.HeaderRequestID, api.HeaderForwardedBy, api.HeaderTimeout, "Authorization",
}

// privateHeaders are between a backend server and the node. They are removed from responses.
var privateHeaders = []string{api.HeaderRefused, api.HeaderLeaving}

func forwardHeader(in http.Header) http.Header {
	out := in.Clone()
	if out == nil {
		out = http.Header{}
	}
	header.RemoveHop(out)
	for _, name := range ownHeaders {
		out.Del(name)
	}
	return out
}

// copyResponseHeader copies the headers of a response. With a digest to check, the length is left out: the response is
// then chunked, and leaving out the last chunk shows the caller that the body is not whole.
func copyResponseHeader(dst, src http.Header, digest bool) {
	h := src.Clone()
	header.RemoveHop(h)
	for _, name := range privateHeaders {
		h.Del(name)
	}
	if digest {
		h.Del("Content-Length")
	}
	for name, values := range h {
		dst[name] = values
	}
}
