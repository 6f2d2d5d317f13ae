package configcmd_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"egretline.example/egretline/pkg/configcmd"
	"egretline.example/egretline/pkg/configrecord"
	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/standin/logservice"
)

// action is one step of a scenario. Scenarios are drawn before they run, because rapid cannot draw inside a bubble.
type action struct {
	Kind   string
	Reader int
	Other  int
	File   string
	N      int
}

type scenario struct {
	// Peers says whether readers can fetch each other's state.
	Peers   bool
	Actions []action
}

const readers = 3

var kinds = []string{
	"apply", "apply", "poll", "poll", "race", "restart", "lose-replies", "outage", "recover", "expire", "snapshot",
	"late-snapshot", "garbage", "duplicate", "check-peers",
}

func drawScenario(r *rapid.T) scenario {
	drawAction := rapid.Custom(func(r *rapid.T) action {
		return action{
			Kind:   rapid.SampledFrom(kinds).Draw(r, "kind"),
			Reader: rapid.IntRange(0, readers-1).Draw(r, "reader"),
			Other:  rapid.IntRange(0, readers-1).Draw(r, "other"),
			File:   rapid.SampledFrom([]string{"a.toml", "b.toml"}).Draw(r, "file"),
			N:      rapid.IntRange(0, 5).Draw(r, "n"),
		}
	})
	return scenario{
		Peers:   rapid.Bool().Draw(r, "peers"),
		Actions: rapid.SliceOfN(drawAction, 1, 40).Draw(r, "actions"),
	}
}

// Guards against nodes that disagree on the configuration, revert it, or both accept what two operators applied at the
// same time: invariant H7 under lost replies, duplicates, expired records, outages, late snapshots and restarts.
func TestScenarios(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := drawScenario(r)
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = run(s) })
		for _, v := range violations {
			r.Error(v)
		}
	})
}

func run(s scenario) []string {
	w := newWorld(s.Peers)
	for i, a := range s.Actions {
		w.do(a)
		w.check(fmt.Sprintf("after action %d (%s)", i, a.Kind))
	}
	w.converge()
	w.check("at the end")
	w.checkReports()
	return w.violations
}

func (w *world) do(a action) {
	ctx := context.Background()
	r := w.readers[a.Reader]
	switch a.Kind {
	case "apply":
		w.apply(r, a.File)
	case "race":
		w.race(r, w.readers[a.Other], a.File)
	case "poll":
		_ = r.Follower.Poll(ctx, 0)
	case "restart":
		w.readers[a.Reader] = w.newReader()
		_ = w.readers[a.Reader].Follower.Start(ctx)
	case "lose-replies":
		w.faults(func(f *logservice.Faults) { f.LoseReplies = a.N })
	case "outage":
		w.faults(func(f *logservice.Faults) { f.Outage = true })
	case "recover":
		w.faults(func(f *logservice.Faults) { *f = logservice.Faults{} })
	case "expire":
		w.faults(func(f *logservice.Faults) { f.RetainCount = a.N + 1 })
		w.service.Next(configcmd.ApplyStream)
		w.service.Next(configcmd.SnapshotStream)
		w.faults(func(f *logservice.Faults) { f.RetainCount = 0 })
	case "snapshot":
		w.earlier = append(w.earlier, r.state())
		_ = r.Snapshotter.Check(ctx, time.Now())
	case "late-snapshot":
		if len(w.earlier) > 0 {
			_, _ = w.log.Append(ctx, configcmd.SnapshotStream, configrecord.EncodeSnapshot(w.earlier[a.N%len(w.earlier)]))
		}
	case "garbage":
		_, _ = w.log.Append(ctx, configcmd.ApplyStream, []byte("garbage"))
	case "duplicate":
		if len(w.history) > 0 {
			_, _ = w.log.Append(ctx, configcmd.ApplyStream, w.history[a.N%len(w.history)])
		}
	case "check-peers":
		r.Follower.CheckPeers(ctx, time.Now())
		time.Sleep(3 * time.Second)
		r.Follower.CheckPeers(ctx, time.Now())
	}
}

// apply has the reader apply a new version of the file, based on what it has.
func (w *world) apply(r *reader, file string) {
	id := w.newID()
	w.report(id, applyWith(r, file, r.state().Files[file].Revision, id))
}

// applyWith returns the decision, or a zero one if the outcome is unknown.
func applyWith(r *reader, file string, base int64, id string) fold.Decision {
	d, err := r.Follower.Apply(context.Background(), file, base, id, []byte("[service."+id+"]\nregion = \"x\"\n"))
	if err != nil {
		return fold.Decision{}
	}
	return d
}

func (w *world) report(id string, d fold.Decision) {
	if d.Verdict != "" {
		w.reported[id] = d
	}
}

// race has two operators apply the same file at the same time, based on the same revision.
func (w *world) race(a, b *reader, file string) {
	base := a.state().Files[file].Revision
	ids := []string{w.newID(), w.newID()}
	var first, second fold.Decision
	var done sync.WaitGroup
	done.Go(func() { first = applyWith(a, file, base, ids[0]) })
	done.Go(func() { second = applyWith(b, file, base, ids[1]) })
	done.Wait()
	w.report(ids[0], first)
	w.report(ids[1], second)
	w.remember()
	current := reference(w.history).Files[file].Revision
	both := first.Verdict == fold.Accepted && second.Verdict == fold.Accepted
	neither := first.Verdict == fold.Conflict && second.Verdict == fold.Conflict
	if both || neither && current == base {
		w.violate("two racing operators were told %q and %q", first.Verdict, second.Verdict)
	}
}

// converge ends all faults and lets every reader catch up.
func (w *world) converge() {
	w.faults(func(f *logservice.Faults) { *f = logservice.Faults{} })
	w.remember()
	reachable := w.reachable()
	for range 3 {
		for _, r := range w.readers {
			_ = r.Follower.Poll(context.Background(), 0)
		}
	}
	for i, r := range w.readers {
		if next := r.state().Next; reachable && next != int64(len(w.history)) {
			w.violate("reader %d stays at %d of %d records", i, next, len(w.history))
		}
	}
}
