// Package http1 sends requests to backend servers over its own pool of HTTP/1.1 connections. Unlike net/http.Transport,
// it never retries a non-idempotent request, reports whether any byte of a request was sent, and skips late responses to
// earlier requests on the same connection.
package http1

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"egretline.example/egretline/internal/http/strict"
)

const (
	readBufferBytes = 8 << 10
	// DialTimeout is far above the round-trip time between availability zones. It is below the 1 s after which a lost SYN
	// is retransmitted, because connecting to another backend server is faster.
	DialTimeout = 350 * time.Millisecond
	// maxIdleResetDelay is the default of Pool.MaxIdleResetDelay. A server resets a connection that it has forgotten after one
	// round trip, which takes no longer than a handshake may.
	maxIdleResetDelay = DialTimeout
	// maxIdleDuration bounds how long a connection stays in the pool, also if the server announces a longer keep-alive
	// timeout or none.
	maxIdleDuration = 6 * time.Second
	// idleCloseMargin is how long before the server's keep-alive timeout an idle connection is closed. Otherwise a request
	// could be sent while the server closes the connection.
	idleCloseMargin = 1500 * time.Millisecond
	// maxRefusedIDs bounds the refused requests that are remembered for a connection, which is closed after that.
	maxRefusedIDs = 64
	// maxIdleConnsPerServer bounds the file descriptors that idle connections use.
	maxIdleConnsPerServer = 8
	// unackedDataTimeout is how long sent bytes may stay unacknowledged before the kernel closes the connection, as during
	// a network partition. It is also the interval of TCP keep-alive probes.
	unackedDataTimeout = 5 * time.Second
	// sockoptTCPUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall does not define.
	sockoptTCPUserTimeout = 0x12
)

// Conn is a connection to a backend server. It carries one request at a time.
type Conn struct {
	Address string
	// Reused reports whether the connection has carried an earlier request.
	Reused bool

	tcp *net.TCPConn
	// stream reads and writes the bytes of tcp.
	stream net.Conn
	reader *bufio.Reader
	// hasReadDeadline reports whether a read deadline is set on the connection.
	hasReadDeadline bool
	// refusedIDs lists the requests that the server refused on this connection. A faulty server may send such a refusal
	// again, so the connection does not carry these requests a second time.
	refusedIDs []string
	// idleSince is when the connection became idle, and idleTimeout how long it may stay in the pool.
	idleSince   time.Time
	idleTimeout time.Duration
}

// Pool holds idle connections to backend servers. Its lock is the last in the lock order and is not held while a
// connection is dialed, read or written.
type Pool struct {
	Dialer net.Dialer
	// MaxIdleResetDelay is how long after a request its connection may end for the cause to be that the server had closed it
	// while it was idle. A server that ends the connection later has worked on the request.
	MaxIdleResetDelay time.Duration

	mu   sync.Mutex
	idle map[string][]*Conn
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		Dialer:            net.Dialer{Timeout: DialTimeout, KeepAlive: unackedDataTimeout},
		MaxIdleResetDelay: maxIdleResetDelay,
		idle:              map[string][]*Conn{},
	}
}

// Take removes a connection to the address that has been idle for at most maxAge from the pool, or returns nil. It skips
// connections on which the server refused the request before, and closes connections on which anything arrived while they
// were idle: the end of the stream, or bytes that belong to no request.
func (p *Pool) Take(address, requestID string, maxAge time.Duration) *Conn {
	for {
		c := p.popIdle(address, requestID, maxAge)
		if c == nil {
			return nil
		}
		if c.isReusable() {
			c.Reused = true
			return c
		}
		c.Close()
	}
}

// HasWarm reports whether an idle connection to the address can carry a request.
func (p *Pool) HasWarm(address string, idempotent bool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return false
	}
	newest := list[len(list)-1]
	return now.Sub(newest.idleSince) <= min(maxIdle(idempotent), newest.idleTimeout)
}

// maxIdle returns how long a connection may have been idle before it carries a request.
func maxIdle(idempotent bool) time.Duration {
	if idempotent {
		return maxIdleDuration
	}
	return maxIdleForNonIdempotent
}

func (p *Pool) popIdle(address, requestID string, maxAge time.Duration) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	// The server is least likely to have closed the connection that became idle last.
	for i := len(list) - 1; i >= 0; i-- {
		c := list[i]
		if time.Since(c.idleSince) > min(maxAge, c.idleTimeout) {
			return nil
		}
		if !slices.Contains(c.refusedIDs, requestID) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// Dial opens a connection. Its errors are of type DialError.
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
	return newConn(address, tcp), nil
}

func newConn(address string, tcp *net.TCPConn) *Conn {
	stream := strict.NewConn(tcp)
	return &Conn{Address: address, tcp: tcp, stream: stream, reader: bufio.NewReaderSize(stream, readBufferBytes)}
}

func setUserTimeout(tcp *net.TCPConn) error {
	raw, err := tcp.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "access socket")
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, sockoptTCPUserTimeout,
			int(unackedDataTimeout.Milliseconds()))
	})
	return eris.Wrap(errors.Join(err, optErr), "set TCP_USER_TIMEOUT")
}

// Put returns a connection to the pool after a complete response. The response header h may contain the server's
// keep-alive timeout.
func (p *Pool) Put(c *Conn, h http.Header) {
	c.idleTimeout = idleTimeoutFromHeader(h)
	c.idleSince = time.Now()
	if c.idleTimeout <= 0 || c.reader.Buffered() > 0 || len(c.refusedIDs) >= maxRefusedIDs {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.Address]) >= maxIdleConnsPerServer {
		c.Close()
		return
	}
	p.idle[c.Address] = append(p.idle[c.Address], c)
}

// idleTimeoutFromHeader returns how long a connection may stay idle according to the Keep-Alive response header. The
// result is not positive if the server's timeout does not exceed idleCloseMargin.
func idleTimeoutFromHeader(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		if text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout="); ok {
			if seconds, err := strconv.Atoi(text); err == nil {
				return min(time.Duration(seconds)*time.Second-idleCloseMargin, maxIdleDuration)
			}
		}
	}
	return maxIdleDuration
}

// CloseExpired closes connections that have reached their idle timeout.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) < c.idleTimeout {
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

// Close closes the connection and ignores the error, because the connection is not used afterwards.
func (c *Conn) Close() { _ = c.tcp.Close() }

// Abort resets the connection. Bytes that are still in the send buffer are dropped and never reach the server.
func (c *Conn) Abort() {
	_ = c.tcp.SetLinger(0)
	_ = c.tcp.Close()
}

// isReusable reports whether nothing has arrived on the idle connection, neither bytes nor the end of the stream.
func (c *Conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peekErr, syscall.EAGAIN)
}
