package node

import (
	"net"
	"sync"
)

// limitListener limits the number of open connections. Further connections wait in the kernel's backlog, which bounds
// the memory that a surge of callers can take.
type limitListener struct {
	net.Listener
	slots     chan struct{}
	done      chan struct{}
	closeOnce sync.Once
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	return &limitListener{Listener: l, slots: make(chan struct{}, limit), done: make(chan struct{})}
}

// Accept waits for a free slot and then for a connection. It returns net.ErrClosed after Close.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: func() { <-l.slots }}, nil
}

// Close stops accepting connections. Open connections stay open.
func (l *limitListener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// limitedConn releases its slot the first time it is closed.
type limitedConn struct {
	net.Conn
	release     func()
	releaseOnce sync.Once
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.releaseOnce.Do(c.release)
	return err
}
