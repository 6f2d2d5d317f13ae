// Package http1 exchanges requests with backend servers over HTTP/1.1 connections that the node owns. Unlike the
// transport of net/http it never repeats a request by itself, tells whether a byte of the request was sent, and finds the
// response of a request behind late responses to earlier ones.
package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	readBufferBytes = 8 << 10
	// DialTimeout is far above the round trip between availability zones and below the second after which a lost SYN is
	// sent again: another backend server is reached sooner than that.
	DialTimeout = 350 * time.Millisecond
	// maxIdle bounds the time that a connection stays in the pool if the server states no time.
	maxIdle = 6 * time.Second
	// idleMargin is how much sooner than the server the node closes an idle connection, so that the two do not meet.
	idleMargin = 1500 * time.Millisecond
	// maxIdlePerServer bounds the descriptors that idle connections hold.
	maxIdlePerServer = 8
	// userTimeout ends a connection whose sent bytes were not acknowledged, as on a partitioned path.
	userTimeout = 5 * time.Second
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall does not name.
	tcpUserTimeout = 0x12
)

// Conn is one connection to a backend server. It carries one request at a time.
type Conn struct {
	Address string
	// Reused says that the connection has carried a request before.
	Reused bool

	tcp    *net.TCPConn
	reader *bufio.Reader
	// parked is when the connection became idle, and keep how long it may stay so.
	parked time.Time
	keep   time.Duration
}

// Pool holds idle connections to backend servers. Its lock is taken last and held for no I/O.
type Pool struct {
	Dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		Dialer: net.Dialer{Timeout: DialTimeout, KeepAlive: userTimeout},
		idle:   map[string][]*Conn{},
	}
}

// Take returns an idle connection to the address that became idle no longer ago than within, or nil. A connection on
// which anything has arrived meanwhile is closed: it was closed by the server, or holds bytes of no request.
func (p *Pool) Take(address string, within time.Duration) *Conn {
	for {
		c := p.pop(address, within)
		if c == nil {
			return nil
		}
		if c.quiet() {
			c.Reused = true
			return c
		}
		c.Close()
	}
}

func (p *Pool) pop(address string, within time.Duration) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	// The newest connection is the one least likely to have been forgotten by the server.
	c := list[len(list)-1]
	if time.Since(c.parked) > min(within, c.keep) {
		return nil
	}
	p.idle[address] = list[:len(list)-1]
	return c
}

// Dial opens a connection. It returns DialError.
func (p *Pool) Dial(ctx context.Context, address string) (*Conn, error) {
	raw, err := p.Dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, DialError{Address: address, Err: err}
	}
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return nil, DialError{Address: address, Err: net.UnknownNetworkError(raw.LocalAddr().Network())}
	}
	if err := setUserTimeout(tcp); err != nil {
		_ = tcp.Close()
		return nil, DialError{Address: address, Err: err}
	}
	return &Conn{Address: address, tcp: tcp, reader: bufio.NewReaderSize(tcp, readBufferBytes)}, nil
}

func setUserTimeout(tcp *net.TCPConn) error {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "access socket")
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return eris.Wrap(errors.Join(err, failed), "set TCP_USER_TIMEOUT")
}

// Park puts a connection back whose response is complete. The header is that of the response and may state how long the
// server keeps the connection.
func (p *Pool) Park(c *Conn, h http.Header) {
	c.keep = keepFor(h)
	c.parked = time.Now()
	if c.keep <= 0 || c.reader.Buffered() > 0 {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.Address]) >= maxIdlePerServer {
		c.Close()
		return
	}
	p.idle[c.Address] = append(p.idle[c.Address], c)
}

// keepFor reads the timeout of the header Keep-Alive.
func keepFor(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(text); err == nil {
				return min(time.Duration(seconds)*time.Second-idleMargin, maxIdle)
			}
		}
	}
	return maxIdle
}

// Sweep closes the connections that have been idle for as long as they may be.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.parked) < c.keep {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		clear(list[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// Close closes the connection. Nothing depends on the error.
func (c *Conn) Close() { _ = c.tcp.Close() }

// Abort resets the connection, so that bytes that have not left the host never reach the server.
func (c *Conn) Abort() {
	_ = c.tcp.SetLinger(0)
	_ = c.tcp.Close()
}

// quiet says that nothing has arrived on the idle connection, not even its end.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, peeked = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peeked, syscall.EAGAIN)
}

// discardBody reads a body that nobody wants, so that the next response can be read.
func discardBody(r *http.Response) error {
	const most = 256 << 10
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, most))
	if err == nil && n == most {
		return StatusError{Status: r.StatusCode}
	}
	return eris.Wrap(err, "discard body")
}
