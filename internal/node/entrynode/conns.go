package entrynode

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// busyPollInterval is how often a stopping node checks whether callers still use their connections.
const busyPollInterval = 10 * time.Millisecond

// busyConns tracks the connections of callers that carry a request or have not carried one yet.
type busyConns struct {
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// observe is the http.Server.ConnState hook.
func (b *busyConns) observe(c net.Conn, s http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s != http.StateNew && s != http.StateActive {
		delete(b.conns, c)
		return
	}
	if b.conns == nil {
		b.conns = map[net.Conn]struct{}{}
	}
	b.conns[c] = struct{}{}
}

func (b *busyConns) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns)
}

// awaitNone blocks until no connection is busy, and otherwise returns the error of the context.
func (b *busyConns) awaitNone(ctx context.Context) error {
	ticker := time.NewTicker(busyPollInterval)
	defer ticker.Stop()
	for b.count() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
