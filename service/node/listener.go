package node

import (
	"net"
	"sync"
)

// limitListener accepts at most a fixed number of open connections. Further ones wait in the backlog of the kernel, so
// that a surge of callers cannot take more memory than the node has planned for.
type limitListener struct {
	net.Listener
	slots chan struct{}
	done  chan struct{}
	close sync.Once
}

func newLimitListener(l net.Listener, limit int) *limitListener {
	return &limitListener{Listener: l, slots: make(chan struct{}, limit), done: make(chan struct{})}
}

// Accept waits for a free place and then for a connection. It returns net.ErrClosed after Close.
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

// Close stops accepting. Open connections stay open.
func (l *limitListener) Close() error {
	l.close.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// limitedConn gives its place back when it is closed for the first time.
type limitedConn struct {
	net.Conn
	release func()
	once    sync.Once
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
