package caller

import (
	"net/http"

	"egretline.example/egretline/pkg/decide/once"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

// keeper passes a response to the caller and keeps a copy for repeated requests. While the copy is whole, a caller that
// has gone does not end the response.
type keeper struct {
	http.ResponseWriter
	limit int

	status   int
	header   http.Header
	body     []byte
	overflow bool
	gone     error
}

// Unwrap returns the caller's writer, for http.ResponseController.
func (k *keeper) Unwrap() http.ResponseWriter { return k.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (k *keeper) WriteHeader(status int) {
	k.status = status
	k.header = k.Header().Clone()
	k.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (k *keeper) Write(p []byte) (int, error) {
	if k.overflow = k.overflow || len(k.body)+len(p) > k.limit; k.overflow {
		k.body = nil
	} else {
		k.body = append(k.body, p...)
	}
	if k.gone == nil {
		_, k.gone = k.ResponseWriter.Write(p)
	}
	if k.gone != nil && k.overflow {
		return 0, k.gone
	}
	return len(p), nil
}

// response returns the whole response, or nil if there is none or it is too large.
func (k *keeper) response(result table.Result) *once.Response {
	if result.Outcome != fleet.Answered || result.Aborted || k.overflow || k.status == 0 {
		return nil
	}
	return &once.Response{Status: k.status, Header: k.header, Body: k.body}
}
