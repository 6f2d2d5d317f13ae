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

// action is one step of a scenario. Scenarios are drawn before they run, because rapid cannot draw in a synctest
// bubble.
type action struct {
	Kind      string
	Node      int
	OtherNode int
	File      string
	// N selects a state or record, or is a number of lost replies or retained records.
	N int
}

type scenario struct {
	// Peers reports whether nodes can fetch each other's state.
	Peers   bool
	Actions []action
}

const nodeCount = 3

var actionKinds = []string{
	"apply", "apply", "poll", "poll", "race", "restart", "lose-replies", "outage", "recover", "expire", "snapshot",
	"late-snapshot", "garbage", "duplicate", "check-peers",
}

func drawScenario(r *rapid.T) scenario {
	drawAction := rapid.Custom(func(r *rapid.T) action {
		return action{
			Kind:      rapid.SampledFrom(actionKinds).Draw(r, "kind"),
			Node:      rapid.IntRange(0, nodeCount-1).Draw(r, "node"),
			OtherNode: rapid.IntRange(0, nodeCount-1).Draw(r, "other node"),
			File:      rapid.SampledFrom([]string{"a.toml", "b.toml"}).Draw(r, "file"),
			N:         rapid.IntRange(0, 5).Draw(r, "n"),
		}
	})
	return scenario{
		Peers:   rapid.Bool().Draw(r, "peers"),
		Actions: rapid.SliceOfN(drawAction, 1, 40).Draw(r, "actions"),
	}
}

// Guards against nodes that disagree on the configuration, revert it, or accept both of two concurrent applies.
// Invariant H7 has to hold under lost replies, duplicates, expired records, outages, outdated snapshots and restarts.
func TestScenarios(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := drawScenario(r)
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = runScenario(s) })
		for _, v := range violations {
			r.Error(v)
		}
	})
}

func runScenario(s scenario) []string {
	h := newHarness(s.Peers)
	for i, a := range s.Actions {
		h.perform(a)
		h.checkNodes(fmt.Sprintf("after action %d (%s)", i, a.Kind))
	}
	h.converge()
	h.checkNodes("at the end")
	h.checkReportedDecisions()
	return h.violations
}

func (h *harness) perform(a action) {
	ctx := context.Background()
	n := h.nodes[a.Node]
	switch a.Kind {
	case "apply":
		h.apply(n, a.File)
	case "race":
		h.applyConcurrently(n, h.nodes[a.OtherNode], a.File)
	case "poll":
		_ = n.Follower.Poll(ctx, 0)
	case "restart":
		h.nodes[a.Node] = h.newNode()
		_ = h.nodes[a.Node].Follower.LoadSnapshot(ctx)
	case "lose-replies":
		h.changeFaults(func(f *logservice.Faults) { f.LoseReplies = a.N })
	case "outage":
		h.changeFaults(func(f *logservice.Faults) { f.Outage = true })
	case "recover":
		h.changeFaults(func(f *logservice.Faults) { *f = logservice.Faults{} })
	case "expire":
		h.changeFaults(func(f *logservice.Faults) { f.RetainCount = a.N + 1 })
		h.service.NextOffset(configcmd.ApplyStream)
		h.service.NextOffset(configcmd.SnapshotStream)
		h.changeFaults(func(f *logservice.Faults) { f.RetainCount = 0 })
	case "snapshot":
		h.earlierStates = append(h.earlierStates, n.state())
		_ = n.Snapshotter.AppendIfDue(ctx, time.Now())
	case "late-snapshot":
		if len(h.earlierStates) > 0 {
			_, _ = h.log.Append(ctx, configcmd.SnapshotStream,
				configrecord.EncodeSnapshot(h.earlierStates[a.N%len(h.earlierStates)]))
		}
	case "garbage":
		_, _ = h.log.Append(ctx, configcmd.ApplyStream, []byte("garbage"))
	case "duplicate":
		if len(h.applyRecords) > 0 {
			_, _ = h.log.Append(ctx, configcmd.ApplyStream, h.applyRecords[a.N%len(h.applyRecords)])
		}
	case "check-peers":
		n.Follower.CatchUpFromPeers(ctx, time.Now())
		time.Sleep(3 * time.Second)
		n.Follower.CatchUpFromPeers(ctx, time.Now())
	}
}

// apply applies a new version of the file at the node, based on the revision that the node has.
func (h *harness) apply(n *testNode, file string) {
	id := h.newID()
	h.recordDecision(id, applyAs(n, file, n.state().Files[file].Revision, id))
}

// applyAs applies a file with the ID and returns the decision, or the zero decision after an error.
func applyAs(n *testNode, file string, base int64, id string) fold.Decision {
	d, err := n.Follower.Apply(context.Background(), file, base, id, []byte("[service."+id+"]\nregion = \"x\"\n"))
	if err != nil {
		return fold.Decision{}
	}
	return d
}

func (h *harness) recordDecision(id string, d fold.Decision) {
	if d.Verdict != "" {
		h.reportedDecisions[id] = d
	}
}

// applyConcurrently applies two versions of the file at the same time, based on the same revision.
func (h *harness) applyConcurrently(a, b *testNode, file string) {
	base := a.state().Files[file].Revision
	ids := []string{h.newID(), h.newID()}
	var first, second fold.Decision
	var group sync.WaitGroup
	group.Go(func() { first = applyAs(a, file, base, ids[0]) })
	group.Go(func() { second = applyAs(b, file, base, ids[1]) })
	group.Wait()
	h.recordDecision(ids[0], first)
	h.recordDecision(ids[1], second)
	h.readApplyRecords()
	current := referenceFold(h.applyRecords).Files[file].Revision
	bothAccepted := first.Verdict == fold.Accepted && second.Verdict == fold.Accepted
	bothConflict := first.Verdict == fold.Conflict && second.Verdict == fold.Conflict
	if bothAccepted || bothConflict && current == base {
		h.addViolation("two concurrent applies got the verdicts %q and %q", first.Verdict, second.Verdict)
	}
}

// converge ends all faults and polls until every node that can catch up has done so.
func (h *harness) converge() {
	h.changeFaults(func(f *logservice.Faults) { *f = logservice.Faults{} })
	h.readApplyRecords()
	canCatchUp := h.canCatchUp()
	for range 3 {
		for _, n := range h.nodes {
			_ = n.Follower.Poll(context.Background(), 0)
		}
	}
	for i, n := range h.nodes {
		if next := n.state().Next; canCatchUp && next != int64(len(h.applyRecords)) {
			h.addViolation("node %d has folded only %d of %d records", i, next, len(h.applyRecords))
		}
	}
}
