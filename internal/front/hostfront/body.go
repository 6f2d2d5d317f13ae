package hostfront

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"egretline.example/egretline/internal/decide/bytebudget"
	"egretline.example/egretline/internal/transfer/transfercmd"
	"egretline.example/egretline/pkg/dispatchcmd"
	"egretline.example/egretline/pkg/table"
)

const (
	// uploadBufferBytes is what the node holds for the copying of a body that is too long to buffer.
	uploadBufferBytes = 64 << 10
	// largeResponseBytes is what a large response needs at least to be passed on.
	largeResponseBytes = 32 << 10
)

// admitResponse takes the bytes without which a large response would not be passed on.
func admitResponse(req *request) error {
	if !req.Route.LargeResponses {
		return nil
	}
	return admitBytes(req, bytebudget.Responses, largeResponseBytes, true)
}

func admitBytes(req *request, d bytebudget.Direction, size int64, large bool) error {
	wait, admitted := req.Account.Admit(time.Now(), d, size, large)
	if !admitted {
		return MemoryError{Bytes: size, Rank: req.Rank, RetryAfter: wait}
	}
	return nil
}

// bufferBody reads up to maxBufferedRequestBytes of the body. This happens before the dispatch, because a caller that
// stalls while it sends the body would otherwise occupy a slot of a backend server.
func (h *Handler) bufferBody(w http.ResponseWriter, r *http.Request, req *request) error {
	if r.ContentLength > h.MaxBodyBytes {
		return BodyError{TooLarge: true, Err: HeaderError{Name: "Content-Length", Value: strconv.FormatInt(r.ContentLength, 10)}}
	}
	if r.ContentLength == 0 {
		return nil
	}
	size, long := int64(maxBufferedRequestBytes), r.ContentLength > maxBufferedRequestBytes
	switch {
	case long:
		size += uploadBufferBytes
	case r.ContentLength > 0:
		size = r.ContentLength
	}
	if err := admitBytes(req, bytebudget.Requests, size, long); err != nil {
		return err
	}
	// Without the writer, the reader does not change the response headers while another goroutine writes them.
	body := http.MaxBytesReader(nil, r.Body, h.MaxBodyBytes)
	if err := h.readStart(w, r, body, req); err != nil {
		return err
	}
	if len(req.BufferedBody) < maxBufferedRequestBytes || r.ContentLength == maxBufferedRequestBytes {
		if r.ContentLength < 0 {
			req.Account.Release(bytebudget.Requests, size-int64(cap(req.BufferedBody)))
		}
		return nil
	}
	req.RemainingBody = body
	if r.ContentLength < 0 {
		return admitBytes(req, bytebudget.Requests, uploadBufferBytes, true)
	}
	return nil
}

// readStart reads the part of the body that is buffered. A caller that stalls gives back its bytes at
// its deadline or the timeout of the route, after which the request would be refused anyway.
func (h *Handler) readStart(w http.ResponseWriter, r *http.Request, body io.Reader, req *request) error {
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(req.ResponseDeadline); err != nil {
		h.Log.Debug().Err(err).Str("request-id", req.ID).Msg("cannot set read deadline of caller connection")
	}
	known := min(max(r.ContentLength, 0), maxBufferedRequestBytes)
	b := bytes.NewBuffer(make([]byte, 0, known+bytes.MinRead))
	_, err := b.ReadFrom(io.LimitReader(body, maxBufferedRequestBytes))
	_ = control.SetReadDeadline(time.Time{}) // fails only if it could not be set
	if err != nil {
		var tooLarge *http.MaxBytesError
		return BodyError{TooLarge: errors.As(err, &tooLarge), Err: err}
	}
	if req.BufferedBody = b.Bytes(); b.Cap() > maxBufferedRequestBytes+bytes.MinRead {
		req.BufferedBody = bytes.Clone(req.BufferedBody) // the buffer has grown to twice the size
	}
	return nil
}

// bodyBytes returns the length of the request body for the backend servers' limits.
func bodyBytes(r *http.Request) int64 {
	if r.ContentLength < 0 {
		return table.UnknownBodyBytes
	}
	return r.ContentLength
}

// retryAfter returns the delay that the error asks the caller to wait before a retry, or zero.
func retryAfter(err error) time.Duration {
	var memory MemoryError
	if errors.As(err, &memory) {
		return memory.RetryAfter
	}
	var undecided UndecidedQuotaError
	if errors.As(err, &undecided) {
		return undecided.RetryAfter
	}
	return dispatchcmd.RetryAfter(err)
}

func endAccount(a *transfercmd.Account) {
	if a != nil {
		a.End()
	}
}
