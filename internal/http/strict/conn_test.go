package strict

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// tcpPair returns a strict connection and its other end.
func tcpPair(t *testing.T) (client net.Conn, peer *net.TCPConn) {
	t.Helper()
	is := is.New(t)
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	dialed, err := new(net.Dialer).DialContext(context.Background(), "tcp4", l.Addr().String())
	is.NoErr(err)
	accepted, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return NewConn(dialed), accepted.(*net.TCPConn)
}

// writeUntilError writes until the connection fails, and returns the error.
func writeUntilError(c net.Conn) error {
	buffer := make([]byte, 64<<10)
	for {
		if _, err := c.Write(buffer); err != nil {
			return err
		}
	}
}

func assertRead(t *testing.T, c net.Conn, content string, want error) {
	t.Helper()
	got, err := io.ReadAll(c) // nil stands for io.EOF
	is := is.New(t)
	is.Equal(string(got), content)
	is.True(errors.Is(err, want))
}

// TestRead guards against a cut stream that passes for a complete one, and against a complete stream that passes for a cut
// one.
func TestRead(t *testing.T) {
	t.Run("a reset that a write has received", func(t *testing.T) {
		c, peer := tcpPair(t)
		_, err := io.WriteString(peer, "part")
		is.New(t).NoErr(err)
		_, err = io.ReadFull(c, make([]byte, 1)) // the part has arrived
		is.New(t).NoErr(err)
		_ = peer.SetLinger(0)
		_ = peer.Close()
		is.New(t).True(errors.Is(writeUntilError(c), syscall.ECONNRESET))
		assertRead(t, c, "art", syscall.ECONNRESET)
	})
	t.Run("a reset that a write receives during the read", func(t *testing.T) {
		for range 200 {
			c, peer := tcpPair(t)
			go func() { _ = writeUntilError(c) }()
			_ = peer.SetLinger(0)
			_ = peer.Close()
			assertRead(t, c, "", syscall.ECONNRESET)
		}
	})
	t.Run("the end of the stream while a write waits for the peer", func(t *testing.T) {
		c, peer := tcpPair(t)
		go func() { _ = writeUntilError(c) }()
		_, err := io.WriteString(peer, "whole")
		is.New(t).NoErr(err)
		_ = peer.CloseWrite()
		assertRead(t, c, "whole", nil) // returns although the peer reads nothing
	})
	t.Run("the end of the stream and then a reset that a write has received", func(t *testing.T) {
		c, peer := tcpPair(t)
		_, err := io.WriteString(peer, "whole")
		is.New(t).NoErr(err)
		_ = peer.CloseWrite()
		_ = peer.SetLinger(0)
		_ = peer.Close()
		is.New(t).True(errors.Is(writeUntilError(c), syscall.EPIPE))
		assertRead(t, c, "whole", nil)
	})
}

// endedConn is a connection whose writes fail with an error, and whose stream has ended.
type endedConn struct {
	net.Conn
	writeErr error
}

func (c endedConn) Write([]byte) (int, error) { return 0, c.writeErr }
func (endedConn) Read([]byte) (int, error)    { return 0, io.EOF }

// TestWriteErrors guards against errors of a write that are wrongly taken for the cause of the end of the stream, or not.
func TestWriteErrors(t *testing.T) {
	for _, c := range []struct {
		name     string
		writeErr error
		want     error
	}{
		{"a peer that acknowledges nothing", syscall.ETIMEDOUT, syscall.ETIMEDOUT},
		{"a network that became unreachable", syscall.EHOSTUNREACH, syscall.EHOSTUNREACH},
		{"a deadline of this side", os.ErrDeadlineExceeded, nil},
		{"a connection that this side closed", net.ErrClosed, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			served, peer := net.Pipe()
			_ = peer.Close()
			conn := NewConn(endedConn{served, &net.OpError{Op: "write", Err: c.writeErr}})
			_, err := conn.Write([]byte("x"))
			is.New(t).True(errors.Is(err, c.writeErr))
			assertRead(t, conn, "", c.want)
		})
	}
}
