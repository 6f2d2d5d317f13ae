package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"egretline.example/egretline/pkg/standin/relay"
	"egretline.example/egretline/platform/standin"
)

// fault is one disturbance. It returns when the disturbance is over.
type fault struct {
	name string
	run  func(ctx context.Context, w *world)
}

// faults lists the disturbances that a seed draws from.
var faults = []fault{
	{"kill", killNode}, {"pause", pauseNode}, {"term", termNode}, {"term-hup", termHup}, {"hup", hupNode},
	{"store-down", storeFault(standin.StoreFaults{Status: 503})},
	{"store-silent", storeFault(standin.StoreFaults{Silent: true})},
	{"store-slow", storeFault(standin.StoreFaults{Delay: 200 * time.Millisecond})},
	{"store-loses", storeFault(standin.StoreFaults{LoseReplies: true})},
	{"store-forgets", func(_ context.Context, w *world) { w.store.DropHistory() }},
	{"store-cut", relayFault(relay.Faults{CutToClient: true})},
	{"store-refuses", relayFault(relay.Faults{Refuse: true})},
	{"config", func(_ context.Context, w *world) { w.configure() }},
	{"drain", drainBackend}, {"backend-cut", backendRelay(relay.Faults{CutToTarget: true})},
	{"backend-silent", backendRelay(relay.Faults{CutToClient: true})},
	{"backend-reset", backendRelay(relay.Faults{Refuse: true})},
	{"backend-delay", backendRelay(relay.Faults{DelayMs: 150})},
	{"fails", backendMode(standin.ModeFail)}, {"hangs", backendMode(standin.ModeHang)}, {"sheds", backendMode(standin.ModeShed)},
	{"repeats", backendMode(standin.ModeDuplicateResponse)}, {"cuts", backendMode(standin.ModeTruncateBody)}, {"drops", backendMode(standin.ModeDropConnection)},
}

// pause waits for a random time up to the longest, or until the context ends.
func (w *world) pause(ctx context.Context, longest time.Duration) {
	w.mu.Lock()
	d := time.Duration(w.rand.Int64N(int64(longest)))
	w.mu.Unlock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func killNode(ctx context.Context, w *world) {
	n := w.live()
	if n == nil {
		return
	}
	w.note(n, func(l *life) { l.killed, l.ended = true, time.Now() })
	w.processOf(n).Kill()
	w.pause(ctx, time.Second)
	w.start(n)
}

func pauseNode(ctx context.Context, w *world) {
	n := w.live()
	if n == nil {
		return
	}
	w.note(n, func(l *life) { l.killed = true })
	w.signal(n, syscall.SIGSTOP)
	w.pause(ctx, 1500*time.Millisecond)
	w.signal(n, syscall.SIGCONT)
}

func termNode(ctx context.Context, w *world) { stopNode(ctx, w, 0) }

// termHup sends SIGHUP to a node that is draining.
func termHup(ctx context.Context, w *world) { stopNode(ctx, w, syscall.SIGHUP) }

func stopNode(ctx context.Context, w *world, also syscall.Signal) {
	n := w.live()
	if n == nil {
		return
	}
	w.note(n, func(l *life) { l.termed = time.Now() })
	w.signal(n, syscall.SIGTERM)
	if also != 0 {
		w.pause(ctx, time.Second)
		w.signal(n, also)
	}
	stopped, cancel := context.WithTimeout(context.WithoutCancel(ctx), grace)
	defer cancel()
	if err := w.processOf(n).Wait(stopped); err != nil {
		w.calls.fail("stop", fmt.Sprintf("%s did not stop within its grace period: %v", n.id, err))
		w.processOf(n).Kill()
	}
	w.note(n, func(l *life) { l.ended = time.Now() })
	w.start(n)
}

func hupNode(_ context.Context, w *world) {
	if n := w.live(); n != nil {
		w.signal(n, syscall.SIGHUP)
	}
}

func storeFault(f standin.StoreFaults) func(context.Context, *world) {
	return func(ctx context.Context, w *world) {
		w.store.SetFaults(f)
		w.pause(ctx, 3*time.Second)
		w.store.SetFaults(standin.StoreFaults{})
	}
}

func relayFault(f relay.Faults) func(context.Context, *world) {
	return func(ctx context.Context, w *world) {
		n := w.live()
		if n == nil {
			return
		}
		n.store.SetFaults(f)
		w.pause(ctx, 3*time.Second)
		n.store.SetFaults(relay.Faults{})
	}
}

// someBackend returns a backend server of a service that keeps two others, or nil.
func (w *world) someBackend() *backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.backends[w.rand.IntN(len(w.backends))]
	others := 0
	for _, o := range w.backends {
		if o.Service == b.Service && o.left.IsZero() {
			others++
		}
	}
	if !b.left.IsZero() || others < 3 {
		return nil
	}
	return b
}

func drainBackend(ctx context.Context, w *world) {
	b := w.someBackend()
	if b == nil {
		return
	}
	w.drain(b)
	w.addBackend(ctx, b.ID+"n", b.Service)
}

func backendRelay(f relay.Faults) func(context.Context, *world) {
	return func(ctx context.Context, w *world) {
		if b := w.someBackend(); b != nil {
			b.relay.SetFaults(f)
			w.pause(ctx, 2*time.Second)
			b.relay.SetFaults(relay.Faults{})
		}
	}
}

func backendMode(m standin.Mode) func(context.Context, *world) {
	return func(ctx context.Context, w *world) {
		if b := w.someBackend(); b != nil {
			b.SetMode(m)
			w.pause(ctx, 3*time.Second)
			b.SetMode(standin.ModeNormal)
		}
	}
}
