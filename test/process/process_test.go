// Package process tests a fleet of real processes under signals, cut links and outages of the platform.
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

// Guards against a planned stop that cuts a request, and against a killed node that makes a request run twice.
func TestStops(t *testing.T) {
	f := newFleet(t, 4, nil)
	near := f.first(t, "zone-0")
	tr := f.startTraffic(t, "zone-0", 8)

	t.Run("a graceful stop under load ends the process and cuts nothing", func(t *testing.T) {
		tr.awaitAnswers(t, 100, only(near))
		is := is.New(t)
		is.NoErr(near.Signal(syscall.SIGTERM))
		is.NoErr(near.Wait(f.ctx))
		tr.awaitAnswers(t, 100, except(near))
	})
	t.Run("callers move on when a node is killed", func(t *testing.T) {
		killed := f.first(t, "zone-0", near)
		tr.awaitAnswers(t, 100, only(killed))
		killed.Kill()
		tr.awaitAnswers(t, 200, except(killed))
	})
	f.assertPromises(t, near)
}

// Guards against a node that acts on expired requests after a pause, or reports them as not run though they ran.
func TestPause(t *testing.T) {
	f := newFleet(t, 3, nil)
	paused := f.Nodes[0]
	tr := f.startTraffic(t, paused.Host.AvailabilityZone, 8)
	tr.awaitAnswers(t, 50, only(paused))
	is := is.New(t)
	is.NoErr(paused.Signal(syscall.SIGSTOP))
	broken := func() bool { return tr.count(isBroken) >= 8 }
	is.NoErr(fleetproc.Await(f.ctx, "all callers have given up", broken))
	is.NoErr(paused.Signal(syscall.SIGCONT))
	tr.awaitAnswers(t, 50, only(paused))
	f.assertPromises(t)
}

// Guards against a lost reply that passes for "not run": the server runs the request and its response never arrives.
func TestOneWayCut(t *testing.T) {
	var control string
	f := newFleet(t, 3, func(f *fixture) []string {
		var links []string
		links, control = startRelays(t, f)
		return links
	})
	tr := f.newTraffic("zone-0")
	assertLine(t, tr.send(f.ctx, checkout), load.Answered)

	t.Run("replies are lost: the outcome is unknown and there is one run", func(t *testing.T) {
		setRelays(t, f, control, relay.Faults{CutToClient: true})
		line := tr.send(f.ctx, checkout)
		assertLine(t, line, load.Unknown)
		assertRuns(t, f, line.Nonce, 1)
	})
	t.Run("requests are answered again after the cut", func(t *testing.T) {
		setRelays(t, f, control, relay.Faults{})
		is.New(t).NoErr(fleetproc.Await(f.ctx, "a checkout is answered", func() bool {
			return tr.send(f.ctx, checkout).Class == load.Answered
		}))
	})
	f.assertPromises(t)
}

// Guards against a fleet that depends on the log: it serves on and takes in new nodes while the log is down.
func TestLogOutage(t *testing.T) {
	f := newFleet(t, 3, nil)
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
	t.Run("a node without log and peers is not ready and invents nothing", func(t *testing.T) {
		alone := newFleet(t, 0, nil)
		is := is.New(t)
		is.NoErr(alone.SetFaults(alone.ctx, alone.LogURL+"/faults", logservice.Faults{Outage: true}))
		n, err := alone.StartNode(alone.ctx, "alone", "zone-0")
		is.NoErr(err)
		is.NoErr(alone.AwaitGet(alone.ctx, n.Operator+"/livez"))
		assertLine(t, alone.newTraffic("zone-0").send(alone.ctx, lookup), load.NoEntry)
	})
	f.assertPromises(t)
}

// Guards against a stalled backend server that takes requests with it: others answer, and nothing runs twice.
func TestStall(t *testing.T) {
	f := newFleet(t, 3, nil)
	tr := f.startTraffic(t, "zone-0", 8)
	tr.awaitAnswers(t, 100, anyNode)
	is.New(t).NoErr(f.SetFaults(f.ctx, "http://"+f.backends[0]+"/faults", stalled))
	tr.awaitAnswers(t, 500, anyNode)
	f.assertPromises(t)
}
