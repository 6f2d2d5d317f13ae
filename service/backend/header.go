package backend

import (
	"net/http"

	"egretline.example/egretline/service/api"
	"egretline.example/egretline/service/header"
)

// strippedRequestHeaders are removed from callers' requests. Among them are the headers that only nodes may set, because
// a caller could otherwise pose as another tenant. The bearer token is meant for the node alone.
var strippedRequestHeaders = []string{
	api.HeaderTenant, api.HeaderRequestID, api.HeaderForwardedBy, api.HeaderTimeout, "Authorization",
}

// strippedResponseHeaders are removed from responses, because backend servers address them to the node.
var strippedResponseHeaders = []string{api.HeaderRefused, api.HeaderLeaving}

// outgoingHeader returns a copy of the caller's headers without those that are not passed on to a backend server.
func outgoingHeader(in http.Header) http.Header {
	out := in.Clone()
	if out == nil {
		out = http.Header{}
	}
	header.RemoveHopByHop(out)
	for _, name := range strippedRequestHeaders {
		out.Del(name)
	}
	return out
}

// copyResponseHeader copies the headers of a response. If a digest will be checked, Content-Length is left out: the
// response is then chunked, and omitting the last chunk shows the caller that the body is incomplete.
func copyResponseHeader(dst, src http.Header, digest bool) {
	h := src.Clone()
	header.RemoveHopByHop(h)
	for _, name := range strippedResponseHeaders {
		h.Del(name)
	}
	if digest {
		h.Del("Content-Length")
	}
	for name, values := range h {
		dst[name] = values
	}
}
