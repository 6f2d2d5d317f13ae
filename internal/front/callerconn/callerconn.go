// Package callerconn observes the connections of callers. net/http's server notices that a caller has left only while it
// reads from the connection, which it does not before the handler has read the whole body of the request.
package callerconn

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type contextKey struct{}

// NewContext returns a context that carries the connection. It is an http.Server.ConnContext hook.
func NewContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// IsClosed reports whether the caller has closed or reset the connection of the context, also if bytes that it sent before
// have not been read. A close behind more bytes than the receive buffer of the socket holds is not seen. IsClosed returns
// false if the context carries no connection with a socket.
func IsClosed(ctx context.Context) bool {
	c, hasSocket := ctx.Value(contextKey{}).(syscall.Conn)
	if !hasSocket {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	var closed bool
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, pollErr := unix.Poll(poll, 0)
		closed = pollErr == nil && n > 0
	})
	return err != nil || closed
}
