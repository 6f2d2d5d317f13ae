package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"egretline.example/egretline/platform/standin"
)

const (
	// slowReaderCount is the number of callers that read slowly at a time; half of them read nothing.
	slowReaderCount = 200
	// slowReadBytes and slowReadInterval describe how the others read.
	slowReadBytes    = 1 << 10
	slowReadInterval = time.Second
	// slowReadDuration is the longest time after which such a caller leaves.
	slowReadDuration = 4 * time.Second
	// nodeMemoryMB is the memory limit in the settings of the nodes.
	nodeMemoryMB = 284
)

// readSlowly sends requests for large responses, which their callers do not read as fast as they arrive. It checks that no node
// ends or needs more memory than it may have.
func readSlowly(ctx context.Context, h *harness) {
	h.mu.Lock()
	seed := h.rng.Uint64()
	h.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, slowReadDuration)
	defer cancel()
	var callers sync.WaitGroup
	for k := range slowReaderCount {
		callers.Go(func() {
			c := newCaller(h, k, seed)
			c.refreshEntries(ctx)
			if len(c.entryAddresses) > 0 {
				c.readLarge(ctx, fmt.Sprintf("s%x-%d", seed, k), k%2 == 0)
			}
			c.client.CloseIdleConnections()
		})
	}
	callers.Wait()
	h.checkProcesses()
}

// readLarge requests a large response, reads a little of it now and then, or nothing, and leaves when the context ends.
func (c *caller) readLarge(ctx context.Context, id string, stalled bool) {
	// The caller leaves before the response is complete, which counts like a response without end.
	result := call{ID: id, Customer: c.customer, NodeAddress: c.entryAddresses[c.rng.IntN(len(c.entryAddresses))], Idempotent: true, Flooded: true, SentAt: time.Now()}
	conn, err := new(net.Dialer).DialContext(ctx, "tcp4", result.NodeAddress)
	if err != nil {
		return
	}
	defer conn.Close()                                     //nolint:errcheck // the caller leaves
	_ = conn.SetDeadline(time.Now().Add(slowReadDuration)) // a read may wait for more than a short response has
	_, _ = fmt.Fprintf(conn, "GET /bulk%s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n%s: %s\r\n%s: %d\r\n\r\n",
		standin.LargeSuffix, virtualHost, c.customer.Key, standin.HeaderRequestID, id, standin.HeaderDeadline, burstTimeout.Milliseconds())
	ticker := time.NewTicker(slowReadInterval)
	defer ticker.Stop()
	for err == nil {
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case <-ticker.C:
			if !stalled {
				_, err = io.CopyN(io.Discard, conn, slowReadBytes)
			}
		}
	}
	result.DoneAt = time.Now()
	c.harness.calls.record(result)
}

// checkProcesses checks that no node has ended by itself or has needed more memory than its settings allow.
func (h *harness) checkProcesses() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, n := range h.nodes {
		r := n.runs[len(n.runs)-1]
		if n.process.Ended() {
			if r.sigtermAt.IsZero() && r.endedAt.IsZero() {
				h.calls.recordViolation("exit", n.id+" ended by itself")
			}
			continue
		}
		status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.PID())) // the process may have ended since
		for line := range strings.SplitSeq(string(status), "\n") {
			var kB int
			if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kB); err == nil && kB > nodeMemoryMB<<10 {
				h.calls.recordViolation("memory", fmt.Sprintf("%s needed %d kB", n.id, kB))
			}
		}
	}
}
