package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"egretline.example/egretline/internal/http/strict"
)

// Bounds of what a backend server may send before the response to a request. A faulty server sends bytes that are no
// response without end.
const (
	// maxHeadBytes and maxHeadLines bound the status line and headers of one response.
	maxHeadBytes = 32 << 10
	maxHeadLines = 256
	// maxHeadDuration bounds the time from the first byte of a response head to its end.
	maxHeadDuration = 2 * time.Second
	// maxInterimResponses bounds the interim (1xx) responses to one request.
	maxInterimResponses = 8
	// maxDiscardBytes and discardTimeout bound the reading of a response body that nobody needs. Closing the connection
	// is cheaper than reading more.
	maxDiscardBytes = 256 << 10
	discardTimeout  = 50 * time.Millisecond
)

// protocolPrefix starts every response.
const protocolPrefix = "HTTP/"

// headScanner finds the end of a response head in a buffer that grows.
type headScanner struct {
	offset     int
	lines      int
	lineLength int
}

// scan continues in the buffer after the bytes of the previous call, and reports whether the head is complete.
func (s *headScanner) scan(buffer []byte) bool {
	for ; s.offset < len(buffer); s.offset++ {
		switch buffer[s.offset] {
		case '\n':
			s.lines++
			if s.lineLength == 0 {
				return true
			}
			s.lineLength = 0
		case '\r':
		default:
			s.lineLength++
		}
	}
	return false
}

// awaitHead blocks until the complete head of a response is in the buffer of the connection. It returns HeadLimitError or
// NotHTTPError as soon as the received bytes show that there will be none.
func (c *Conn) awaitHead() error {
	var s headScanner
	defer c.clearReadDeadline()
	for {
		buffered, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return err
		}
		prefix := buffered[:min(len(buffered), len(protocolPrefix))]
		switch complete := s.scan(buffered); {
		case !bytes.HasPrefix([]byte(protocolPrefix), prefix):
			return NotHTTPError{Address: c.Address}
		case s.lines > maxHeadLines:
			return HeadLimitError{Address: c.Address, Limit: "line count"}
		case complete:
			return nil
		case len(buffered) >= maxHeadBytes:
			return HeadLimitError{Address: c.Address, Limit: "size"}
		case len(buffered) == c.reader.Size():
			c.growReader(buffered)
		case len(buffered) > 0 && !c.hasReadDeadline:
			c.setReadDeadline(maxHeadDuration)
		}
		_, err = c.reader.Peek(len(buffered) + 1)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return HeadLimitError{Address: c.Address, Limit: "duration"}
		case errors.Is(err, io.EOF) && len(buffered) > 0:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}

// growReader replaces the reader by one whose buffer holds the largest response head.
func (c *Conn) growReader(buffered []byte) {
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.stream), maxHeadBytes)
}

// setReadDeadline lets reads fail after the duration. An error means that the connection is closed, which the next read
// reports.
func (c *Conn) setReadDeadline(d time.Duration) {
	c.hasReadDeadline = c.tcp.SetReadDeadline(time.Now().Add(d)) == nil
}

func (c *Conn) clearReadDeadline() {
	if c.hasReadDeadline {
		_ = c.tcp.SetReadDeadline(time.Time{})
		c.hasReadDeadline = false
	}
}

// readResponse reads the head of the next response.
func (c *Conn) readResponse(r *http.Request) (*http.Response, error) {
	if err := c.awaitHead(); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return nil, err
	}
	if err := strict.CheckFieldNames(response.Header); err != nil {
		return nil, err
	}
	return response, nil
}

// readFinalResponse reads the head of the next final response and skips interim (1xx) responses.
func (c *Conn) readFinalResponse(r *http.Request) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		response, err := c.readResponse(r)
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode == http.StatusSwitchingProtocols || response.StatusCode < http.StatusContinue:
			return nil, UnexpectedStatusError{Address: c.Address, Status: response.StatusCode}
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
	return nil, HeadLimitError{Address: c.Address, Limit: "number of interim responses"}
}

// discardBody reads and drops a response body, after which the connection can carry the next response. It fails if the
// body is long or does not arrive at once.
func (c *Conn) discardBody(r *http.Response) error {
	c.setReadDeadline(discardTimeout)
	defer c.clearReadDeadline()
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxDiscardBytes))
	if err == nil && n == maxDiscardBytes {
		return BodyLimitError{Address: c.Address, Bytes: maxDiscardBytes}
	}
	if err != nil {
		return ExchangeError{Address: c.Address, Stage: stageResponseBody, Err: err}
	}
	return nil
}
