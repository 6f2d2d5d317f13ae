// Package relay implements a TCP proxy that simulates network failures in tests. It can withhold the bytes of one or both
// directions, delay them, or reset connections, while the processes on both sides keep running.
package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"egretline.example/egretline/pkg/guard"
)

// lockRank is the rank of the only lock in the lock order.
const lockRank guard.Rank = 1

// Size of a chunk and length of the chunk queue of one direction. A cut direction stops reading when the queue is full.
// The sender's TCP window then closes, as in a network that drops packets.
const (
	chunkBytes       = 16 << 10
	chunkQueueLength = 64
)

// dialTimeout bounds the dial to the target.
const dialTimeout = 2 * time.Second

// Faults sets the simulated network failures. Bytes of a cut direction are withheld and delivered when the cut ends, as
// TCP does after a partition. New connections are accepted during a cut, because the kernel completes the handshake before
// the relay sees them.
type Faults struct {
	// CutToTarget withholds the bytes from the client to the target.
	CutToTarget bool `json:"cut-to-target,omitempty"`
	// CutToClient withholds the bytes from the target to the client.
	CutToClient bool `json:"cut-to-client,omitempty"`
	// DelayMs is the added latency of each direction.
	DelayMs int64 `json:"delay-ms,omitempty"`
	// Refuse resets all existing and new connections.
	Refuse bool `json:"refuse,omitempty"`
}

type state struct {
	faults      Faults
	changed     chan struct{}
	connections map[*connection]struct{}
}

// Relay forwards TCP connections to one target.
type Relay struct {
	Target string
	state  *guard.Guard[state]
}

// connection is one relayed connection.
type connection struct {
	client net.Conn
	target net.Conn
	ctx    context.Context
	cancel context.CancelFunc
}

// chunk holds received bytes and the time at which the relay may send them.
type chunk struct {
	bytes  []byte
	sendAt time.Time
}

// New returns a relay without faults.
func New(target string) *Relay {
	return &Relay{
		Target: target,
		state:  guard.New(lockRank, state{changed: make(chan struct{}), connections: map[*connection]struct{}{}}),
	}
}

// SetFaults replaces all faults.
func (r *Relay) SetFaults(f Faults) {
	var reset []*connection
	r.state.Write(guard.Held{}, func(_ guard.Held, s *state) {
		s.faults = f
		close(s.changed)
		s.changed = make(chan struct{})
		if f.Refuse {
			for c := range s.connections {
				reset = append(reset, c)
			}
		}
	})
	for _, c := range reset {
		c.reset()
	}
}

// Faults returns the current faults.
func (r *Relay) Faults() Faults {
	f, _ := r.faultsAndChange()
	return f
}

// faultsAndChange returns the current faults and a channel that is closed when they change.
func (r *Relay) faultsAndChange() (Faults, chan struct{}) {
	var f Faults
	var changed chan struct{}
	r.state.Read(guard.Held{}, func(_ guard.Held, s *state) {
		f = s.faults
		changed = s.changed
	})
	return f, changed
}

// Serve relays the connections of the listener until the context ends, then resets the open ones. It returns a wrapped
// net.ErrClosed if the listener is closed before.
func (r *Relay) Serve(ctx context.Context, l net.Listener) error {
	var connections sync.WaitGroup
	defer connections.Wait()
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		client, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return eris.Wrap(err, "accept")
		case err != nil:
			continue
		}
		connections.Go(func() { r.relayConnection(ctx, client) })
	}
}

func (r *Relay) relayConnection(ctx context.Context, client net.Conn) {
	if r.Faults().Refuse {
		closeWithReset(client)
		return
	}
	target, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", r.Target)
	if err != nil {
		closeWithReset(client)
		return
	}
	conn := &connection{client: client, target: target}
	conn.ctx, conn.cancel = context.WithCancel(ctx)
	refuse := false
	r.state.Write(guard.Held{}, func(_ guard.Held, s *state) {
		s.connections[conn] = struct{}{}
		refuse = s.faults.Refuse
	})
	stop := context.AfterFunc(conn.ctx, conn.reset)
	if refuse {
		// SetFaults ran after the check above and before the connection was registered, so it didn't reset this one.
		conn.cancel()
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.copyDirection(conn, client, target, func(f Faults) bool { return f.CutToTarget }) })
	directions.Go(func() { r.copyDirection(conn, target, client, func(f Faults) bool { return f.CutToClient }) })
	directions.Wait()
	stop()
	conn.cancel()
	r.state.Write(guard.Held{}, func(_ guard.Held, s *state) { delete(s.connections, conn) })
	_ = client.Close()
	_ = target.Close()
}

// copyDirection relays the bytes of one direction. A separate goroutine reads them and stamps each chunk with its arrival
// time plus the delay, so a delay doesn't limit the throughput.
func (r *Relay) copyDirection(conn *connection, from, to net.Conn, cut func(Faults) bool) {
	chunks := make(chan chunk, chunkQueueLength)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(chunks)
		r.readChunks(conn, from, chunks)
	})
	defer reader.Wait()
	for c := range chunks {
		if !r.waitToSend(conn, c, cut) {
			return
		}
		if _, err := to.Write(c.bytes); err != nil {
			conn.reset()
			return
		}
	}
	if !r.waitToSend(conn, chunk{}, cut) {
		return
	}
	if half, ok := to.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
}

func (r *Relay) readChunks(conn *connection, from net.Conn, chunks chan<- chunk) {
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			f, _ := r.faultsAndChange()
			sendAt := time.Now().Add(time.Duration(f.DelayMs) * time.Millisecond)
			select {
			case chunks <- chunk{bytes: buffer[:n], sendAt: sendAt}:
			case <-conn.ctx.Done():
				return
			}
		}
		if err != nil && !errors.Is(err, io.EOF) {
			conn.reset()
		}
		if err != nil {
			return
		}
	}
}

// waitToSend waits until the chunk is due and its direction isn't cut. It returns false if the connection ends first.
func (r *Relay) waitToSend(conn *connection, c chunk, cut func(Faults) bool) bool {
	timer := time.NewTimer(time.Until(c.sendAt))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-conn.ctx.Done():
		return false
	}
	for {
		f, changed := r.faultsAndChange()
		if !cut(f) {
			return true
		}
		select {
		case <-changed:
		case <-conn.ctx.Done():
			return false
		}
	}
}

// reset closes both sides with a TCP reset.
func (c *connection) reset() {
	c.cancel()
	closeWithReset(c.client)
	closeWithReset(c.target)
}

// closeWithReset closes the connection with a TCP reset. A peer could take a regular end for a complete message.
func closeWithReset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
