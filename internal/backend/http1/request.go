package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/service/header"
)

// headerAuthorization carries the key of a customer.
const headerAuthorization = "Authorization"

// framingHeaders are written by requestHead, or are left out because trailers are not forwarded.
var framingHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// requestHead returns the request line and the headers that are sent to the backend server. The request line is that of
// the caller: net/http would change a path that begins with two slashes into an absolute URL.
func (e *Exchange) requestHead(s fleet.BackendServer) []byte {
	in := e.Request
	h := in.Header.Clone()
	header.RemoveHopByHop(h)
	h.Del(e.Headers.Customer)
	if e.Customer != "" {
		h.Set(e.Headers.Customer, e.Customer)
	}
	if e.DropCredentials {
		h.Del(headerAuthorization)
	}
	h.Set(e.Headers.RequestID, e.RequestID)
	h.Set(e.Headers.Deadline, strconv.FormatInt(max(time.Until(e.ResponseDeadline).Milliseconds(), 1), 10))
	if s.Instance != "" {
		h.Set(e.Headers.ExpectInstance, s.Instance)
	}
	var b bytes.Buffer
	b.WriteString(in.Method + " " + in.RequestURI + " HTTP/1.1\r\nHost: " + in.Host + "\r\n")
	switch {
	case e.RemainingBody != nil && in.ContentLength < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case e.RemainingBody != nil:
		b.WriteString("Content-Length: " + strconv.FormatInt(in.ContentLength, 10) + "\r\n")
	case e.hasBodyFraming():
		b.WriteString("Content-Length: " + strconv.Itoa(len(e.BufferedBody)) + "\r\n")
	}
	_ = h.WriteSubset(&b, framingHeaders) // writing to a buffer cannot fail
	b.WriteString("\r\n")
	return b.Bytes()
}

// hasBodyFraming reports whether the request has a body, which may be empty. Without a body, a request that anticipates
// one needs a length as well (RFC 9110, section 8.6).
func (e *Exchange) hasBodyFraming() bool {
	in := e.Request
	return len(e.BufferedBody) > 0 || in.ContentLength < 0 || in.Header.Get("Content-Length") != "" ||
		in.Method == http.MethodPost || in.Method == http.MethodPut || in.Method == http.MethodPatch
}

// sendLongBody writes the head and the whole body of a request. It flushes each piece, because the caller may wait for a
// response before it sends the next one.
func (e *Exchange) sendLongBody(w io.Writer, head []byte) error {
	if _, err := w.Write(head); err != nil {
		return err
	}
	buffered := bufio.NewWriterSize(w, copyBufferBytes)
	body := io.MultiReader(bytes.NewReader(e.BufferedBody), e.RemainingBody)
	if e.Request.ContentLength >= 0 {
		return copyFlushed(buffered, buffered, io.LimitReader(body, e.Request.ContentLength), e.Request.ContentLength)
	}
	chunks := httputil.NewChunkedWriter(buffered)
	if err := copyFlushed(chunks, buffered, body, -1); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	if _, err := buffered.WriteString("\r\n"); err != nil {
		return err
	}
	return buffered.Flush()
}

// copyFlushed copies the body to w, which writes to the buffer, and flushes the buffer after each piece. The length is -1
// if it is not known.
func copyFlushed(w io.Writer, buffered *bufio.Writer, body io.Reader, length int64) error {
	buffer := make([]byte, copyBufferBytes)
	var copied int64
	for {
		n, err := body.Read(buffer)
		copied += int64(n)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if err := buffered.Flush(); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF) && length >= 0 && copied < length:
			return io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
}
