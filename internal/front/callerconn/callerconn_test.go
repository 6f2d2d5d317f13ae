package callerconn

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/test/fleetproc"
)

// newConn returns the caller's end of a connection, and a context that carries the other end.
func newConn(t *testing.T) (*net.TCPConn, context.Context) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0") //nolint:noctx // loopback
	is.NoErr(err)
	defer l.Close()
	caller, err := net.Dial("tcp4", l.Addr().String()) //nolint:noctx // loopback
	is.NoErr(err)
	t.Cleanup(func() { _ = caller.Close() })
	served, err := l.Accept()
	is.NoErr(err)
	t.Cleanup(func() { _ = served.Close() })
	_, err = caller.Write([]byte("unread"))
	is.NoErr(err)
	return caller.(*net.TCPConn), NewContext(t.Context(), served)
}

func assertCloses(t *testing.T, ctx context.Context) {
	t.Helper()
	is.New(t).NoErr(fleetproc.Await(t.Context(), "the connection is closed", func() bool { return IsClosed(ctx) }))
}

// TestIsClosed guards against callers that have left unnoticed because bytes that they sent before are unread.
func TestIsClosed(t *testing.T) {
	t.Run("an open connection", func(t *testing.T) {
		_, ctx := newConn(t)
		is.New(t).True(!IsClosed(ctx))
	})
	t.Run("a closed connection", func(t *testing.T) {
		caller, ctx := newConn(t)
		is.New(t).NoErr(caller.Close())
		assertCloses(t, ctx)
	})
	t.Run("a connection that was reset", func(t *testing.T) {
		caller, ctx := newConn(t)
		is.New(t).NoErr(caller.SetLinger(0))
		is.New(t).NoErr(caller.Close())
		assertCloses(t, ctx)
	})
	t.Run("a context without a socket", func(t *testing.T) {
		is.New(t).True(!IsClosed(t.Context()))
		caller, _ := net.Pipe()
		is.New(t).True(!IsClosed(NewContext(t.Context(), caller)))
	})
}
