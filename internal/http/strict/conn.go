// Package strict lets HTTP clients reject broken responses that net/http and package net pass off as complete.
package strict

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// conn is a connection that reports its failure to readers as well as to writers.
type conn struct {
	net.Conn

	writing sync.Mutex // held during a write
	// failure is the error of the connection that a write returned.
	failure error
}

// NewConn returns a connection on which a read returns io.EOF only if the peer has ended the stream. The kernel reports a
// reset or a timeout to a single call. If that is a write, it lets later reads end as if the stream were complete, and a
// response that ends with its connection would pass for a whole one.
func NewConn(c net.Conn) net.Conn { return &conn{Conn: c} }

// Read implements net.Conn. The end of the stream ends a write in progress and makes later ones fail.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// A write may have received the failure without having returned yet. It may also wait for a peer that reads no more.
	_ = c.SetWriteDeadline(time.Unix(0, 0)) // fails only if the connection is closed, and then no write waits
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failure != nil {
		return n, c.failure
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if isFailure(err) {
		c.failure = err
	}
	return n, err
}

// isFailure reports whether the error of a write shows that the stream from the peer was cut. EPIPE does not: the kernel
// returns it for a reset that follows the end of the stream, or for a failure that it has reported before. Deadlines and
// Close of this side are no system call errors.
func isFailure(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}
