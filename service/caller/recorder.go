package caller

import (
	"net/http"

	"egretline.example/egretline/pkg/decide/once"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

// responseRecorder passes a response on to the caller and records it for replay to requests with the same idempotency
// key. While the record is complete, a failed write to the caller does not end the response.
type responseRecorder struct {
	http.ResponseWriter
	maxBodyBytes int

	status       int
	header       http.Header
	body         []byte
	bodyTooLarge bool
	writeErr     error
}

// Unwrap returns the underlying writer, as http.ResponseController requires.
func (r *responseRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) {
	r.status = status
	r.header = r.Header().Clone()
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(p []byte) (int, error) {
	if r.bodyTooLarge = r.bodyTooLarge || len(r.body)+len(p) > r.maxBodyBytes; r.bodyTooLarge {
		r.body = nil
	} else {
		r.body = append(r.body, p...)
	}
	if r.writeErr == nil {
		_, r.writeErr = r.ResponseWriter.Write(p)
	}
	if r.writeErr != nil && r.bodyTooLarge {
		return 0, r.writeErr
	}
	return len(p), nil
}

// recorded returns the complete response, or nil if the request was not answered, the response was cut off, or its body
// is larger than maxBodyBytes.
func (r *responseRecorder) recorded(result table.Result) *once.Response {
	if result.Outcome != fleet.Answered || result.Aborted || r.bodyTooLarge || r.status == 0 {
		return nil
	}
	return &once.Response{Status: r.status, Header: r.header, Body: r.body}
}
