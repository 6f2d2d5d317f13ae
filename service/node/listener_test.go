package node

import (
	"errors"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against an unbounded number of connections, and against slots that are lost or released twice when connections
// close.
func TestLimitListener(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := newLimitListener(inner, 1)
	accepted := make(chan net.Conn)
	ended := make(chan error, 1)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- conn
		}
	}()
	first, second := dial(t, inner), dial(t, inner)
	defer first.Close()
	defer second.Close()
	conn := <-accepted

	t.Run("the second connection waits", func(t *testing.T) {
		assertNoFreeSlot(t, l)
	})
	t.Run("closing twice releases one slot", func(t *testing.T) {
		_ = conn.Close()
		_ = conn.Close()
		conn = <-accepted
		assertNoFreeSlot(t, l)
	})
	t.Run("close ends a waiting accept", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(l.Close())
		is.True(errors.Is(<-ended, net.ErrClosed))
	})
	_ = conn.Close()
}

func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	is.New(t).NoErr(err)
	return conn
}

func assertNoFreeSlot(t *testing.T, l *limitListener) {
	t.Helper()
	is.New(t).Equal(len(l.slots), cap(l.slots))
}
