// Package relay is a TCP relay for failure tests. It can withhold the bytes of one direction or of both, delay them, or
// reset connections, while the programs on both sides keep running.
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

// rankState is the only lock of a relay.
const rankState guard.Rank = 1

// Sizes of the buffers of one direction. A cut direction stops reading when they are full, as a network that drops
// packets stops the sender's window.
const (
	chunkBytes = 16 << 10
	chunkQueue = 64
)

// dialTimeout bounds the connection to the target.
const dialTimeout = 2 * time.Second

// Faults is what the relay does to the bytes of its connections. Bytes of a cut direction are withheld and delivered when
// the cut ends, as TCP does after a partition. New connections are still accepted during a cut, because the kernel
// completes the handshake before the relay sees them.
type Faults struct {
	// CutToTarget withholds the bytes from the client to the target.
	CutToTarget bool `json:"cut-to-target,omitempty"`
	// CutToClient withholds the bytes from the target to the client.
	CutToClient bool `json:"cut-to-client,omitempty"`
	// DelayMs is the added latency of each direction.
	DelayMs int64 `json:"delay-ms,omitempty"`
	// Refuse resets all connections and each new one.
	Refuse bool `json:"refuse,omitempty"`
}

type state struct {
	faults  Faults
	changed chan struct{}
	links   map[*link]struct{}
}

// Relay forwards TCP connections to one target.
type Relay struct {
	Target string
	state  *guard.Guard[state]
}

// link is one relayed connection.
type link struct {
	client net.Conn
	target net.Conn
	ctx    context.Context
	cancel context.CancelFunc
}

// chunk is some bytes and the time when they leave the relay.
type chunk struct {
	bytes []byte
	due   time.Time
}

// New returns a relay without faults.
func New(target string) *Relay {
	return &Relay{
		Target: target,
		state:  guard.New(rankState, state{changed: make(chan struct{}), links: map[*link]struct{}{}}),
	}
}

// SetFaults replaces all faults.
func (r *Relay) SetFaults(f Faults) {
	var reset []*link
	r.state.Write(guard.Held{}, func(_ guard.Held, s *state) {
		s.faults = f
		close(s.changed)
		s.changed = make(chan struct{})
		if f.Refuse {
			for l := range s.links {
				reset = append(reset, l)
			}
		}
	})
	for _, l := range reset {
		l.reset()
	}
}

// Faults returns the faults in force.
func (r *Relay) Faults() Faults {
	f, _ := r.watch()
	return f
}

// watch returns the faults and a channel that is closed when they change.
func (r *Relay) watch() (Faults, chan struct{}) {
	var f Faults
	var changed chan struct{}
	r.state.Read(guard.Held{}, func(_ guard.Held, s *state) {
		f = s.faults
		changed = s.changed
	})
	return f, changed
}

// Serve relays the connections of the listener until the context ends, then resets those that are left. It returns a
// wrapped net error if the listener fails before.
func (r *Relay) Serve(ctx context.Context, l net.Listener) error {
	var links sync.WaitGroup
	defer links.Wait()
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
		links.Go(func() { r.relay(ctx, client) })
	}
}

func (r *Relay) relay(ctx context.Context, client net.Conn) {
	if r.Faults().Refuse {
		abort(client)
		return
	}
	target, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", r.Target)
	if err != nil {
		abort(client)
		return
	}
	l := &link{client: client, target: target}
	l.ctx, l.cancel = context.WithCancel(ctx)
	refuse := false
	r.state.Write(guard.Held{}, func(_ guard.Held, s *state) {
		s.links[l] = struct{}{}
		refuse = s.faults.Refuse
	})
	stop := context.AfterFunc(l.ctx, l.reset)
	if refuse {
		// The fault was set after the check above and before SetFaults could see the link.
		l.cancel()
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.pump(l, client, target, func(f Faults) bool { return f.CutToTarget }) })
	directions.Go(func() { r.pump(l, target, client, func(f Faults) bool { return f.CutToClient }) })
	directions.Wait()
	stop()
	l.cancel()
	r.state.Write(guard.Held{}, func(_ guard.Held, s *state) { delete(s.links, l) })
	_ = client.Close()
	_ = target.Close()
}

// pump moves the bytes of one direction. A reader takes them with the time of their arrival, so that a delay does not
// limit the throughput.
func (r *Relay) pump(l *link, from, to net.Conn, cut func(Faults) bool) {
	chunks := make(chan chunk, chunkQueue)
	var reader sync.WaitGroup
	reader.Go(func() {
		defer close(chunks)
		r.read(l, from, chunks)
	})
	defer reader.Wait()
	for c := range chunks {
		if !r.hold(l, c, cut) {
			return
		}
		if _, err := to.Write(c.bytes); err != nil {
			l.reset()
			return
		}
	}
	if !r.hold(l, chunk{}, cut) {
		return
	}
	if half, ok := to.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
}

func (r *Relay) read(l *link, from net.Conn, chunks chan<- chunk) {
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			f, _ := r.watch()
			due := time.Now().Add(time.Duration(f.DelayMs) * time.Millisecond)
			select {
			case chunks <- chunk{bytes: buffer[:n], due: due}:
			case <-l.ctx.Done():
				return
			}
		}
		if err != nil && !errors.Is(err, io.EOF) {
			l.reset()
		}
		if err != nil {
			return
		}
	}
}

// hold waits until the chunk is due and its direction is not cut. It returns false if the connection ended before.
func (r *Relay) hold(l *link, c chunk, cut func(Faults) bool) bool {
	timer := time.NewTimer(time.Until(c.due))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.ctx.Done():
		return false
	}
	for {
		f, changed := r.watch()
		if !cut(f) {
			return true
		}
		select {
		case <-changed:
		case <-l.ctx.Done():
			return false
		}
	}
}

// reset ends both sides with a TCP reset.
func (l *link) reset() {
	l.cancel()
	abort(l.client)
	abort(l.target)
}

// abort closes the connection with a reset instead of a regular end, which a peer could take for a complete message.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
