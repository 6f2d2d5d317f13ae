package configcmd_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/configcmd"
	"egretline.example/egretline/pkg/configfile"
	"egretline.example/egretline/pkg/configrecord"
	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/standin/logservice"
)

const validFile = "[service.bookdesk]\nregion = \"midlands\"\n"

// inBubble runs a subtest with a new harness in a synctest bubble, where time advances when all goroutines are blocked.
func inBubble(t *testing.T, name string, peers bool, fn func(t *testing.T, h *harness)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { fn(t, newHarness(peers)) })
	})
}

// Guards against a wrong outcome being returned to an operator.
func TestApply(t *testing.T) {
	inBubble(t, "a lost reply is resolved by reading the log back", false, func(t *testing.T, h *harness) {
		h.service.SetFaults(logservice.Faults{LoseReplies: 1})
		assertApply(t, h.nodes[0], "id", 0, fold.Accepted)
		is.New(t).Equal(h.service.NextOffset(configcmd.ApplyStream), int64(1))
	})
	inBubble(t, "an outage that ends within the deadline delays the apply", false, func(t *testing.T, h *harness) {
		h.service.SetFaults(logservice.Faults{Outage: true})
		time.AfterFunc(5*time.Second, func() { h.service.SetFaults(logservice.Faults{}) })
		assertApply(t, h.nodes[0], "id", 0, fold.Accepted)
	})
	inBubble(t, "the outcome during an outage is unknown, and a retry resolves it", false, func(t *testing.T, h *harness) {
		h.service.SetFaults(logservice.Faults{Hang: true})
		_, err := h.nodes[0].Follower.Apply(context.Background(), "a.toml", 0, "id", []byte(validFile))
		is.New(t).True(errors.As(err, &configcmd.UnknownOutcomeError{}))
		h.service.SetFaults(logservice.Faults{})
		assertApply(t, h.nodes[1], "id", 0, fold.Accepted)
		assertApply(t, h.nodes[0], "id", 0, fold.Accepted)
	})
	inBubble(t, "the second of two operators gets a conflict", false, func(t *testing.T, h *harness) {
		assertApply(t, h.nodes[0], "id-1", 0, fold.Accepted)
		assertApply(t, h.nodes[1], "id-2", 0, fold.Conflict)
	})
	inBubble(t, "an apply ID that was used for other contents is refused", false, func(t *testing.T, h *harness) {
		assertApply(t, h.nodes[0], "id", 0, fold.Accepted)
		_, err := h.nodes[0].Follower.Apply(context.Background(), "a.toml", 1, "id", []byte(""))
		is.New(t).True(errors.As(err, &configcmd.ReusedIDError{}))
	})
	inBubble(t, "a refused file changes nothing", false, func(t *testing.T, h *harness) {
		is := is.New(t)
		n := h.nodes[0]
		_, err := n.Follower.Apply(context.Background(), "a.toml", 0, "id", []byte("[service.x]\nregoin = \"y\"\n"))
		is.True(errors.As(err, &configfile.InvalidFileError{}))
		_, err = n.Follower.Apply(context.Background(), "a.toml", -1, "id", []byte(validFile))
		is.True(errors.As(err, &configcmd.RequestError{}))
		is.Equal(h.service.NextOffset(configcmd.ApplyStream), int64(0))
		is.True(n.Query.Current() == nil)
	})
}

// Guards against nodes that miss changes, use a configuration that the log does not give, or fold past missing records.
func TestFollow(t *testing.T) {
	inBubble(t, "a running follower has a change in force within 11 s of the end of an outage", false,
		func(t *testing.T, h *harness) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); h.nodes[1].Follower.Run(ctx) }()
			h.service.SetFaults(logservice.Faults{Outage: true})
			time.Sleep(time.Hour)
			h.service.SetFaults(logservice.Faults{})
			assertApply(t, h.nodes[0], "id", 0, fold.Accepted)
			time.Sleep(11 * time.Second)
			is.Equal(h.nodes[1].state().Revision, int64(1))
			cancel()
			<-done
		})
	inBubble(t, "a new node starts from peers while the log is down", true, func(t *testing.T, h *harness) {
		is := is.New(t)
		assertApply(t, h.nodes[0], "id", 0, fold.Accepted)
		h.service.SetFaults(logservice.Faults{Hang: true})
		n := h.newNode()
		n.Follower.CatchUpFromPeers(context.Background(), time.Now())
		is.True(n.Query.Current() == nil) // the log still has time to deliver the revision
		n.Follower.CatchUpFromPeers(context.Background(), time.Now().Add(2*time.Second))
		is.Equal(n.Query.Current().Revision, int64(1))
	})
	inBubble(t, "a new node without heartbeats starts from peers", false, func(t *testing.T, h *harness) {
		assertApply(t, h.nodes[0], "id", 0, fold.Accepted)
		h.service.SetFaults(logservice.Faults{Hang: true})
		n := h.newNode()
		n.Follower.Peers = peersWithoutHeartbeats{Peers: h}
		n.Follower.CatchUpFromPeers(context.Background(), time.Now())
		n.Follower.CatchUpFromPeers(context.Background(), time.Now().Add(2*time.Second))
		is.New(t).Equal(n.Query.Current().Revision, int64(1))
	})
	inBubble(t, "a node without usable snapshot or peer has no configuration", false, func(t *testing.T, h *harness) {
		is := is.New(t)
		assertApply(t, h.nodes[0], "id-1", 0, fold.Accepted)
		assertApply(t, h.nodes[0], "id-2", 1, fold.Accepted)
		h.service.SetFaults(logservice.Faults{RetainCount: 1})
		err := h.nodes[1].Follower.Poll(context.Background(), 0)
		is.True(errors.As(err, &configcmd.RecordsExpiredError{}))
		is.True(h.nodes[1].Query.Current() == nil)
	})
	inBubble(t, "a log that lost records does not revert the configuration", false, func(t *testing.T, h *harness) {
		is := is.New(t)
		assertApply(t, h.nodes[0], "id", 0, fold.Accepted)
		h.nodes[0].Follower.Log = newClient(logservice.New(logservice.Faults{}))
		err := h.nodes[0].Follower.Poll(context.Background(), 0)
		is.True(errors.As(err, &configcmd.LogTruncatedError{}))
		is.Equal(h.nodes[0].Query.Current().Revision, int64(1))
	})
	inBubble(t, "records after a gap are not folded", false, func(t *testing.T, h *harness) {
		is := is.New(t)
		for i, id := range []string{"id-1", "id-2", "id-3"} {
			assertApply(t, h.nodes[0], id, int64(i), fold.Accepted)
		}
		h.nodes[1].Follower.Log = alteredLog{newClient(h.service), func(b configcmd.Batch) configcmd.Batch {
			if len(b.Records) > 1 {
				b.Records = append(b.Records[:1:1], b.Records[2:]...)
			}
			return b
		}}
		is.True(h.nodes[1].Follower.Poll(context.Background(), 0) != nil)
		is.Equal(h.nodes[1].state().Next, int64(1))
	})
	inBubble(t, "a delayed read does not revert the configuration", false, func(t *testing.T, h *harness) {
		is := is.New(t)
		assertApply(t, h.nodes[0], "id-1", 0, fold.Accepted)
		fast := h.nodes[1].Follower
		slow := *fast
		release := make(chan struct{})
		slow.Log = alteredLog{fast.Log, func(b configcmd.Batch) configcmd.Batch {
			<-release
			return b
		}}
		done := make(chan error)
		go func() { done <- slow.Poll(context.Background(), 0) }()
		synctest.Wait()
		assertApply(t, h.nodes[0], "id-2", 1, fold.Accepted)
		is.NoErr(fast.Poll(context.Background(), 0))
		close(release)
		is.NoErr(<-done)
		is.Equal(h.nodes[1].state().Next, int64(2))
	})
	inBubble(t, "a log without long polls is polled at a bounded rate", false, func(t *testing.T, h *harness) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		reads := 0
		h.nodes[0].Follower.Log = alteredLog{newClient(h.service), func(b configcmd.Batch) configcmd.Batch {
			reads++
			return b
		}}
		h.nodes[0].Follower.Run(ctx)
		is.True(reads <= 11) // at most one read a second
	})
	inBubble(t, "the observer is called once for each change of the configuration", false,
		func(t *testing.T, h *harness) {
			is := is.New(t)
			recorder := &revisionRecorder{node: h.nodes[1]}
			h.nodes[1].Follower.Observer = recorder
			assertApply(t, h.nodes[0], "id-1", 0, fold.Accepted)
			assertApply(t, h.nodes[0], "id-2", 0, fold.Conflict)
			for range 2 {
				is.NoErr(h.nodes[1].Follower.Poll(context.Background(), 0))
			}
			assertApply(t, h.nodes[0], "id-3", 1, fold.Accepted)
			is.NoErr(h.nodes[1].Follower.Poll(context.Background(), 0))
			is.Equal(recorder.revisions, []int64{1, 3})
		})
	inBubble(t, "a peer that is behind is ignored", true, func(t *testing.T, h *harness) {
		is := is.New(t)
		assertApply(t, h.nodes[0], "id", 0, fold.Accepted)
		ahead := h.nodes[0]
		h.nodes[0] = h.nodes[1]
		ahead.Follower.CatchUpFromPeers(context.Background(), time.Now())
		is.Equal(ahead.state().Revision, int64(1))
	})
}

// peersWithoutHeartbeats returns states, but announces no revision.
type peersWithoutHeartbeats struct {
	configcmd.Peers
}

func (peersWithoutHeartbeats) HighestRevision() int64 { return 0 }

// revisionRecorder is an observer that records the revision in force at each call.
type revisionRecorder struct {
	node      *testNode
	revisions []int64
}

func (o *revisionRecorder) ConfigurationChanged() {
	o.revisions = append(o.revisions, o.node.Query.Current().Revision)
}

// alteredLog alters the batches that reads return, and does not support long polls.
type alteredLog struct {
	configcmd.Log
	alter func(configcmd.Batch) configcmd.Batch
}

func (l alteredLog) Read(ctx context.Context, s string, from int64, n int, _ time.Duration) (configcmd.Batch, error) {
	batch, err := l.Log.Read(ctx, s, from, n, 0)
	return l.alter(batch), err
}

// Guards against the loss of the configuration when log records expire.
func TestSnapshot(t *testing.T) {
	inBubble(t, "a new node starts from a snapshot and the records after it", false, func(t *testing.T, h *harness) {
		is := is.New(t)
		assertApply(t, h.nodes[0], "id-1", 0, fold.Accepted)
		assertSnapshots(t, h, h.nodes[0], 1)
		assertApply(t, h.nodes[0], "id-2", 1, fold.Accepted)
		h.service.SetFaults(logservice.Faults{RetainCount: 1})
		n := h.newNode()
		is.NoErr(n.Follower.LoadSnapshot(context.Background()))
		is.NoErr(n.Follower.Poll(context.Background(), 0))
		is.Equal(configrecord.EncodeState(n.state()), configrecord.EncodeState(h.nodes[0].state()))
	})
	inBubble(t, "an outdated snapshot of a paused node does not hide a better one", false, func(t *testing.T, h *harness) {
		is := is.New(t)
		assertApply(t, h.nodes[0], "id-1", 0, fold.Accepted)
		outdated := configrecord.EncodeSnapshot(h.nodes[0].state())
		assertApply(t, h.nodes[0], "id-2", 1, fold.Accepted)
		assertSnapshots(t, h, h.nodes[0], 1)
		_, err := h.log.Append(context.Background(), configcmd.SnapshotStream, outdated)
		is.NoErr(err)
		assertApply(t, h.nodes[0], "id-3", 2, fold.Accepted)
		h.service.SetFaults(logservice.Faults{RetainCount: 2})
		h.service.NextOffset(configcmd.ApplyStream)
		assertApply(t, h.nodes[0], "id-4", 3, fold.Accepted)
		n := h.newNode()
		is.NoErr(n.Follower.Poll(context.Background(), 0))
		is.NoErr(n.Follower.Poll(context.Background(), 0))
		is.Equal(n.state().Next, int64(4))
	})
	inBubble(t, "a snapshot is renewed before it expires although nothing changed", false, func(t *testing.T, h *harness) {
		assertApply(t, h.nodes[0], "id", 0, fold.Accepted)
		assertSnapshots(t, h, h.nodes[0], 1)
		assertSnapshots(t, h, h.nodes[0], 1)
		time.Sleep(time.Hour)
		assertSnapshots(t, h, h.nodes[0], 2)
	})
	inBubble(t, "a node does not repeat a snapshot of another node", false, func(t *testing.T, h *harness) {
		assertApply(t, h.nodes[0], "id", 0, fold.Accepted)
		assertSnapshots(t, h, h.nodes[0], 1)
		is.New(t).NoErr(h.nodes[1].Follower.Poll(context.Background(), 0))
		assertSnapshots(t, h, h.nodes[1], 1)
	})
}

func assertApply(t *testing.T, n *testNode, id string, base int64, v fold.Verdict) {
	t.Helper()
	is := is.New(t)
	d, err := n.Follower.Apply(context.Background(), "a.toml", base, id, []byte(validFile))
	is.NoErr(err)
	is.Equal(d.Verdict, v)
	is.Equal(n.Query.Current().Revision, n.state().Revision)
}

// assertSnapshots runs the snapshot check of the node and asserts the number of snapshots in the log.
func assertSnapshots(t *testing.T, h *harness, n *testNode, want int64) {
	t.Helper()
	is := is.New(t)
	is.NoErr(n.Snapshotter.AppendIfDue(context.Background(), time.Now()))
	is.Equal(h.service.NextOffset(configcmd.SnapshotStream), want)
}
