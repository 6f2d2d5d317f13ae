// Package process tests a fleet of node processes under signals, broken connections and outages of the platform's log.
package process

import (
	"syscall"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/load"
	"egretline.example/egretline/pkg/standin/logservice"
	"egretline.example/egretline/pkg/standin/relay"
	"egretline.example/egretline/test/fleetproc"
)

// Guards against a graceful stop that cuts a request, and against a non-idempotent request that runs twice because its
// node was killed.
func TestStops(t *testing.T) {
	f := newFixture(t, 4, nil)
	preferred := f.preferredNode(t, "zone-0")
	tr := f.startTraffic(t, "zone-0", 8)

	t.Run("a graceful stop under load ends the process and cuts nothing", func(t *testing.T) {
		tr.awaitAnswers(t, 100, onlyNode(preferred))
		is := is.New(t)
		is.NoErr(preferred.Signal(syscall.SIGTERM))
		is.NoErr(preferred.Wait(f.ctx))
		tr.awaitAnswers(t, 100, exceptNode(preferred))
	})
	t.Run("callers move on when a node is killed", func(t *testing.T) {
		killed := f.preferredNode(t, "zone-0", preferred)
		tr.awaitAnswers(t, 100, onlyNode(killed))
		killed.Kill()
		tr.awaitAnswers(t, 200, exceptNode(killed))
	})
	f.assertGuarantees(t, preferred)
}

// Guards against a node that runs requests twice after it was paused beyond their timeouts, or reports them as not run
// although they ran.
func TestPause(t *testing.T) {
	f := newFixture(t, 3, nil)
	paused := f.Nodes[0]
	tr := f.startTraffic(t, paused.Host.AvailabilityZone, 8)
	tr.awaitAnswers(t, 50, onlyNode(paused))
	is := is.New(t)
	is.NoErr(paused.Signal(syscall.SIGSTOP))
	allGivenUp := func() bool { return tr.countLines(isTransportError) >= 8 }
	is.NoErr(fleetproc.Await(f.ctx, "all callers have given up", allGivenUp))
	is.NoErr(paused.Signal(syscall.SIGCONT))
	tr.awaitAnswers(t, 50, onlyNode(paused))
	f.assertGuarantees(t)
}

// Guards against a request reported as not run although the backend server ran it and only its response was lost.
func TestOneWayCut(t *testing.T) {
	var controlURL string
	f := newFixture(t, 3, func(f *fixture) []string {
		var relayAddresses []string
		relayAddresses, controlURL = startRelays(t, f)
		return relayAddresses
	})
	tr := f.newTraffic("zone-0")
	assertClass(t, tr.sendRequest(f.ctx, checkoutFlow), load.Answered)

	t.Run("replies are lost: the outcome is unknown and there is one run", func(t *testing.T) {
		setRelayFaults(t, f, controlURL, relay.Faults{CutToClient: true})
		line := tr.sendRequest(f.ctx, checkoutFlow)
		assertClass(t, line, load.Unknown)
		assertRuns(t, f, line.Nonce, 1)
	})
	t.Run("requests are answered again after the cut", func(t *testing.T) {
		setRelayFaults(t, f, controlURL, relay.Faults{})
		is.New(t).NoErr(fleetproc.Await(f.ctx, "a checkout is answered", func() bool {
			return tr.sendRequest(f.ctx, checkoutFlow).Class == load.Answered
		}))
	})
	f.assertGuarantees(t)
}

// Guards against a fleet that cannot serve or add nodes while the log is unavailable, and against a node that serves
// without any configuration.
func TestLogOutage(t *testing.T) {
	f := newFixture(t, 3, nil)
	tr := f.startTraffic(t, "zone-0", 4)
	is := is.New(t)
	is.NoErr(f.SetFaults(f.ctx, f.LogURL+"/faults", logservice.Faults{Outage: true}))
	tr.awaitAnswers(t, 100, anyNode)
	t.Run("a new node starts from its peers", func(t *testing.T) {
		is := is.New(t)
		n, err := f.StartNode(f.ctx, "late", "zone-1")
		is.NoErr(err)
		is.NoErr(f.AwaitReady(f.ctx, n))
	})
	t.Run("a node without log and peers is live and has no entries", func(t *testing.T) {
		alone := newFixture(t, 0, nil)
		is := is.New(t)
		is.NoErr(alone.SetFaults(alone.ctx, alone.LogURL+"/faults", logservice.Faults{Outage: true}))
		n, err := alone.StartNode(alone.ctx, "alone", "zone-0")
		is.NoErr(err)
		is.NoErr(alone.AwaitURL(alone.ctx, n.OperatorURL+"/livez"))
		assertClass(t, alone.newTraffic("zone-0").sendRequest(alone.ctx, lookupFlow), load.NoEntry)
	})
	f.assertGuarantees(t)
}

// Guards against a stalled backend server that blocks the traffic of the other servers or makes requests run twice.
func TestStall(t *testing.T) {
	f := newFixture(t, 3, nil)
	tr := f.startTraffic(t, "zone-0", 8)
	tr.awaitAnswers(t, 100, anyNode)
	is.New(t).NoErr(f.SetFaults(f.ctx, "http://"+f.backendAddresses[0]+"/faults", stallAllRequests))
	tr.awaitAnswers(t, 500, anyNode)
	f.assertGuarantees(t)
}

// Guards against a wrong result of the apply command: a change that is stored twice or reported as failed because the
// log's reply was lost, and a change that is reported as accepted during an outage.
func TestApply(t *testing.T) {
	f := newFixture(t, 3, nil)
	before := f.assertSameConfigRevision(t)

	t.Run("lost replies: accepted once, in force everywhere", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(f.SetFaults(f.ctx, f.LogURL+"/faults", logservice.Faults{LoseReplies: 2}))
		f.assertApply(t, "lost", 0)
		is.NoErr(fleetproc.Await(f.ctx, "the new revision is in force everywhere", func() bool {
			return f.lowestConfigRevision(t) > before
		}))
		f.assertSameConfigRevision(t)
	})
	t.Run("outage: the outcome is unknown and nothing changes", func(t *testing.T) {
		is := is.New(t)
		applied := f.assertSameConfigRevision(t)
		is.NoErr(f.SetFaults(f.ctx, f.LogURL+"/faults", logservice.Faults{Outage: true}))
		f.assertApply(t, "outage", 5)
		is.Equal(f.assertSameConfigRevision(t), applied)
	})
}
