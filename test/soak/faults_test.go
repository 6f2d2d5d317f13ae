package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"egretline.example/egretline/pkg/standin/relay"
	"egretline.example/egretline/platform/standin"
)

// fault is one kind of fault. inject returns when the fault is over.
type fault struct {
	name   string
	inject func(ctx context.Context, h *harness)
}

// faults lists the faults that a seed draws from. Another order gives another run of a seed.
var faults = []fault{
	{"kill", killNode}, {"pause", pauseNode}, {"term", terminateNode},
	{"term-hup", terminateNodeWithHup}, {"hup", reloadNode},
	{"store-down", storeFault(standin.StoreFaults{Status: 503})},
	{"store-silent", storeFault(standin.StoreFaults{Silent: true})},
	{"store-slow", storeFault(standin.StoreFaults{Delay: 200 * time.Millisecond})},
	{"store-loses", storeFault(standin.StoreFaults{LoseReplies: true})},
	{"store-forgets", func(_ context.Context, h *harness) { h.store.DropHistory() }},
	{"store-restores", restoreStore},
	{"store-cut", storeRelayFault(relay.Faults{CutToClient: true})},
	{"store-refuses", storeRelayFault(relay.Faults{Refuse: true})},
	{"config", func(_ context.Context, h *harness) { h.publishConfig() }},
	{"drain", drainBackend}, {"drain-unlisted", drainUnlistedBackend}, {"backend-cut", backendRelayFault(relay.Faults{CutToTarget: true})},
	{"backend-silent", backendRelayFault(relay.Faults{CutToClient: true})},
	{"backend-reset", backendRelayFault(relay.Faults{Refuse: true})},
	{"backend-delay", backendRelayFault(relay.Faults{DelayMs: 150})},
	{"fails", backendModeFault(standin.ModeFail)},
	{"burst", sendBurst}, {"reads-slowly", readSlowly}, {"term-under-load", stopNodeUnderLoad}, {"slows", backendModeFault(standin.ModeSlow)}, {"answers-early", backendModeFault(standin.ModeEarly)},
	{"hangs", backendModeFault(standin.ModeHang)}, {"sheds", backendModeFault(standin.ModeShed)},
	{"pauses", backendModeFault(standin.ModePause)}, {"repeats-refusals", backendModeFault(standin.ModeRepeatRefusal)},
	{"floods-head", backendModeFault(standin.ModeFloodHead)}, {"floods-body", backendModeFault(standin.ModeFloodBody)},
	{"odd-record", putOddRecord},
	{"repeats", backendModeFault(standin.ModeDuplicateResponse)},
	{"cuts", backendModeFault(standin.ModeTruncateBody)}, {"drops", backendModeFault(standin.ModeDropConnection)},
	{"pause-while-leaving", pauseWhileServerLeaves},
}

// maxLostRecords bounds the records of a topic that are lost by a restored store. It is some seconds of heartbeats.
const maxLostRecords = 60

// sleepRandom waits for a random duration up to longest, or until the context ends.
func (h *harness) sleepRandom(ctx context.Context, longest time.Duration) {
	h.mu.Lock()
	d := time.Duration(h.rng.Int64N(int64(longest)))
	h.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func killNode(ctx context.Context, h *harness) {
	n := h.pickNode()
	if n == nil {
		return
	}
	h.updateRun(n, func(r *processRun) { r.disrupted, r.endedAt = true, time.Now() })
	h.currentProcess(n).Kill()
	h.sleepRandom(ctx, time.Second)
	h.startNode(n)
}

func pauseNode(ctx context.Context, h *harness) {
	n := h.pickNode()
	if n == nil {
		return
	}
	h.updateRun(n, func(r *processRun) { r.disrupted = true })
	h.signal(n, syscall.SIGSTOP)
	h.sleepRandom(ctx, 1500*time.Millisecond)
	h.signal(n, syscall.SIGCONT)
}

// pauseWhileServerLeaves pauses a node for longer than a server that leaves may get requests, and lets one leave meanwhile.
func pauseWhileServerLeaves(ctx context.Context, h *harness) {
	n, b := h.pickNode(), h.pickBackend()
	if n == nil || b == nil {
		return
	}
	h.updateRun(n, func(r *processRun) { r.disrupted = true })
	h.signal(n, syscall.SIGSTOP)
	h.announceLeaving(b)
	h.addBackend(ctx, b.ID+"n", b.Service)
	h.sleep(2 * time.Second)
	h.sleepRandom(ctx, time.Second)
	h.signal(n, syscall.SIGCONT)
}

func terminateNode(ctx context.Context, h *harness) { stopNode(ctx, h, 0) }

// terminateNodeWithHup stops a node gracefully and sends it SIGHUP while it drains.
func terminateNodeWithHup(ctx context.Context, h *harness) { stopNode(ctx, h, syscall.SIGHUP) }

// stopNode stops a node by SIGTERM, sends it the second signal if that is not 0, and starts it again.
func stopNode(ctx context.Context, h *harness, second syscall.Signal) {
	n := h.pickNode()
	if n == nil {
		return
	}
	h.updateRun(n, func(r *processRun) { r.sigtermAt = time.Now() })
	h.signal(n, syscall.SIGTERM)
	if second != 0 {
		h.sleepRandom(ctx, time.Second)
		h.signal(n, second)
	}
	waitCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), gracePeriod)
	defer cancel()
	if err := h.currentProcess(n).Wait(waitCtx); err != nil {
		h.calls.recordViolation("stop", fmt.Sprintf("%s did not exit within its grace period: %v", n.id, err))
		h.currentProcess(n).Kill()
	}
	h.updateRun(n, func(r *processRun) { r.endedAt = time.Now() })
	h.startNode(n)
}

// sendBurst sends burstSize requests at the same time, each on a connection of its own, which fills the queues of the nodes.
func sendBurst(ctx context.Context, h *harness) {
	var callers sync.WaitGroup
	h.mu.Lock()
	seed := h.rng.Uint64()
	h.mu.Unlock()
	for k := range burstSize {
		callers.Go(func() {
			c := newCaller(h, k, seed)
			c.timeout, c.bookingPath = burstTimeout, "/slow/x"
			c.name = fmt.Sprintf("b%x-%d", seed, k)
			c.refreshEntries(ctx)
			if len(c.entryAddresses) > 0 {
				c.sendRequest(ctx, c.name)
			}
			c.client.CloseIdleConnections()
		})
	}
	callers.Wait()
}

// stopNodeUnderLoad stops a node while requests wait in its queues: all backend servers are slow, and a burst arrives.
func stopNodeUnderLoad(ctx context.Context, h *harness) {
	h.setModeOfAll(standin.ModeSlow)
	var burst sync.WaitGroup
	burst.Go(func() { sendBurst(ctx, h) })
	h.sleepRandom(ctx, time.Second)
	stopNode(ctx, h, 0)
	h.setModeOfAll(standin.ModeNormal)
	burst.Wait()
}

func (h *harness) setModeOfAll(m standin.Mode) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.backends {
		b.SetMode(m)
	}
}

func reloadNode(_ context.Context, h *harness) {
	if n := h.pickNode(); n != nil {
		h.signal(n, syscall.SIGHUP)
	}
}

func storeFault(f standin.StoreFaults) func(context.Context, *harness) {
	return func(ctx context.Context, h *harness) {
		h.store.SetFaults(f)
		h.sleepRandom(ctx, 3*time.Second)
		h.store.SetFaults(standin.StoreFaults{})
	}
}

func storeRelayFault(f relay.Faults) func(context.Context, *harness) {
	return func(ctx context.Context, h *harness) {
		n := h.pickNode()
		if n == nil {
			return
		}
		n.storeRelay.SetFaults(f)
		h.sleepRandom(ctx, 3*time.Second)
		n.storeRelay.SetFaults(relay.Faults{})
	}
}

// pickBackend returns a random backend server, or nil if it is leaving or its service would keep fewer than two others.
func (h *harness) pickBackend() *backend {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.backends[h.rng.IntN(len(h.backends))]
	active := 0
	for _, other := range h.backends {
		if other.Service == b.Service && other.leftAt.IsZero() {
			active++
		}
	}
	if !b.leftAt.IsZero() || active < 3 {
		return nil
	}
	return b
}

func drainBackend(ctx context.Context, h *harness) {
	b := h.pickBackend()
	if b == nil {
		return
	}
	h.announceLeaving(b)
	h.addBackend(ctx, b.ID+"n", b.Service)
}

// drainUnlistedBackend lets a server say in its responses that it is leaving, some time before its registration does.
func drainUnlistedBackend(ctx context.Context, h *harness) {
	b := h.pickBackend()
	if b == nil {
		return
	}
	b.SetLeaving()
	h.sleepRandom(ctx, 4*time.Second)
	h.announceLeaving(b)
	h.addBackend(ctx, b.ID+"n", b.Service)
}

// restoreStore brings the store back from an older copy. The operator and the servers then write again what it has lost.
func restoreStore(_ context.Context, h *harness) {
	h.mu.Lock()
	h.store.RestoreAll(h.rng.Int64N(maxLostRecords))
	for _, b := range h.backends {
		if !b.leftAt.IsZero() {
			h.store.Put(standin.TopicServers, b.ID, b.Registration(true, 0))
		}
	}
	h.mu.Unlock()
	h.publishConfig()
}

// putOddRecord leaves a record among those of the backend servers that no backend server writes.
func putOddRecord(_ context.Context, h *harness) {
	h.mu.Lock()
	odd := standin.OddRegistrations(deskService)
	value, key := odd[h.rng.IntN(len(odd))], fmt.Sprint("odd-", h.rng.IntN(5))
	h.mu.Unlock()
	h.store.Put(standin.TopicServers, key, value)
}

func backendRelayFault(f relay.Faults) func(context.Context, *harness) {
	return func(ctx context.Context, h *harness) {
		if b := h.pickBackend(); b != nil {
			b.relay.SetFaults(f)
			h.sleepRandom(ctx, 2*time.Second)
			b.relay.SetFaults(relay.Faults{})
		}
	}
}

func backendModeFault(m standin.Mode) func(context.Context, *harness) {
	return func(ctx context.Context, h *harness) {
		if b := h.pickBackend(); b != nil {
			b.SetMode(m)
			h.sleepRandom(ctx, 3*time.Second)
			b.SetMode(standin.ModeNormal)
		}
	}
}
