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

const valid = "[service.bookdesk]\nregion = \"midlands\"\n"

// bubble runs fn with a new world in a bubble of its own, where time advances as soon as all goroutines wait.
func bubble(t *testing.T, name string, peers bool, fn func(t *testing.T, w *world)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { fn(t, newWorld(peers)) })
	})
}

// Guards against an operator who is told a wrong outcome.
func TestApply(t *testing.T) {
	bubble(t, "a lost reply is resolved by reading the log back", false, func(t *testing.T, w *world) {
		w.service.SetFaults(logservice.Faults{LoseReplies: 1})
		assertApply(t, w.readers[0], "id", 0, fold.Accepted)
		is.New(t).Equal(w.service.Next(configcmd.ApplyStream), int64(1))
	})
	bubble(t, "an outage that ends within the deadline only delays", false, func(t *testing.T, w *world) {
		w.service.SetFaults(logservice.Faults{Outage: true})
		time.AfterFunc(5*time.Second, func() { w.service.SetFaults(logservice.Faults{}) })
		assertApply(t, w.readers[0], "id", 0, fold.Accepted)
	})
	bubble(t, "the outcome during an outage is unknown, and a retry resolves it", false, func(t *testing.T, w *world) {
		w.service.SetFaults(logservice.Faults{Hang: true})
		_, err := w.readers[0].Follower.Apply(context.Background(), "a.toml", 0, "id", []byte(valid))
		is.New(t).True(errors.As(err, &configcmd.UnknownOutcomeError{}))
		w.service.SetFaults(logservice.Faults{})
		assertApply(t, w.readers[1], "id", 0, fold.Accepted)
		assertApply(t, w.readers[0], "id", 0, fold.Accepted)
	})
	bubble(t, "the slower of two operators gets a conflict", false, func(t *testing.T, w *world) {
		assertApply(t, w.readers[0], "id-1", 0, fold.Accepted)
		assertApply(t, w.readers[1], "id-2", 0, fold.Conflict)
	})
	bubble(t, "an apply ID that was used for other contents is refused", false, func(t *testing.T, w *world) {
		assertApply(t, w.readers[0], "id", 0, fold.Accepted)
		_, err := w.readers[0].Follower.Apply(context.Background(), "a.toml", 1, "id", []byte(""))
		is.New(t).True(errors.As(err, &configcmd.ReusedIDError{}))
	})
	bubble(t, "a refused file changes nothing", false, func(t *testing.T, w *world) {
		is := is.New(t)
		r := w.readers[0]
		_, err := r.Follower.Apply(context.Background(), "a.toml", 0, "id", []byte("[service.x]\nregoin = \"y\"\n"))
		is.True(errors.As(err, &configfile.RefusedError{}))
		_, err = r.Follower.Apply(context.Background(), "a.toml", -1, "id", []byte(valid))
		is.True(errors.As(err, &configcmd.RequestError{}))
		is.Equal(w.service.Next(configcmd.ApplyStream), int64(0))
		is.True(r.Query.Current() == nil)
	})
}

// Guards against nodes that miss changes, invent a configuration, or fold over records that they did not see.
func TestFollow(t *testing.T) {
	bubble(t, "a running follower has a change in force within 11 s of the end of an outage", false,
		func(t *testing.T, w *world) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); w.readers[1].Follower.Run(ctx) }()
			w.service.SetFaults(logservice.Faults{Outage: true})
			time.Sleep(time.Hour)
			w.service.SetFaults(logservice.Faults{})
			assertApply(t, w.readers[0], "id", 0, fold.Accepted)
			time.Sleep(11 * time.Second)
			is.Equal(w.readers[1].state().Revision, int64(1))
			cancel()
			<-done
		})
	bubble(t, "a new node starts from peers while the log is down", true, func(t *testing.T, w *world) {
		is := is.New(t)
		assertApply(t, w.readers[0], "id", 0, fold.Accepted)
		w.service.SetFaults(logservice.Faults{Hang: true})
		r := w.newReader()
		r.Follower.CheckPeers(context.Background(), time.Now())
		is.True(r.Query.Current() == nil) // the log still has time to deliver the revision
		r.Follower.CheckPeers(context.Background(), time.Now().Add(2*time.Second))
		is.Equal(r.Query.Current().Revision, int64(1))
	})
	bubble(t, "a node that can join nothing stays without configuration", false, func(t *testing.T, w *world) {
		is := is.New(t)
		assertApply(t, w.readers[0], "id-1", 0, fold.Accepted)
		assertApply(t, w.readers[0], "id-2", 1, fold.Accepted)
		w.service.SetFaults(logservice.Faults{RetainCount: 1})
		err := w.readers[1].Follower.Poll(context.Background(), 0)
		is.True(errors.As(err, &configcmd.CannotJoinError{}))
		is.True(w.readers[1].Query.Current() == nil)
	})
	bubble(t, "a log that lost records does not take the configuration back", false, func(t *testing.T, w *world) {
		is := is.New(t)
		assertApply(t, w.readers[0], "id", 0, fold.Accepted)
		w.readers[0].Follower.Log = newClient(logservice.New(logservice.Faults{}))
		err := w.readers[0].Follower.Poll(context.Background(), 0)
		is.True(errors.As(err, &configcmd.BehindError{}))
		is.Equal(w.readers[0].Query.Current().Revision, int64(1))
	})
	bubble(t, "a gap between records is not folded over", false, func(t *testing.T, w *world) {
		is := is.New(t)
		for i, id := range []string{"id-1", "id-2", "id-3"} {
			assertApply(t, w.readers[0], id, int64(i), fold.Accepted)
		}
		w.readers[1].Follower.Log = alteredLog{newClient(w.service), func(b configcmd.Batch) configcmd.Batch {
			if len(b.Records) > 1 {
				b.Records = append(b.Records[:1:1], b.Records[2:]...)
			}
			return b
		}}
		is.True(w.readers[1].Follower.Poll(context.Background(), 0) != nil)
		is.Equal(w.readers[1].state().Next, int64(1))
	})
	bubble(t, "a read that comes back late does not take the configuration back", false, func(t *testing.T, w *world) {
		is := is.New(t)
		assertApply(t, w.readers[0], "id-1", 0, fold.Accepted)
		fast := w.readers[1].Follower
		slow := *fast
		release := make(chan struct{})
		slow.Log = alteredLog{fast.Log, func(b configcmd.Batch) configcmd.Batch {
			<-release
			return b
		}}
		done := make(chan error)
		go func() { done <- slow.Poll(context.Background(), 0) }()
		synctest.Wait()
		assertApply(t, w.readers[0], "id-2", 1, fold.Accepted)
		is.NoErr(fast.Poll(context.Background(), 0))
		close(release)
		is.NoErr(<-done)
		is.Equal(w.readers[1].state().Next, int64(2))
	})
	bubble(t, "a log that does not hold long polls is not asked without end", false, func(t *testing.T, w *world) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		reads := 0
		w.readers[0].Follower.Log = alteredLog{newClient(w.service), func(b configcmd.Batch) configcmd.Batch {
			reads++
			return b
		}}
		w.readers[0].Follower.Run(ctx)
		is.True(reads <= 11) // at most one read a second
	})
	bubble(t, "the observer learns of each change of the configuration, and of nothing else", false,
		func(t *testing.T, w *world) {
			is := is.New(t)
			seen := &observer{reader: w.readers[1]}
			w.readers[1].Follower.Observer = seen
			assertApply(t, w.readers[0], "id-1", 0, fold.Accepted)
			assertApply(t, w.readers[0], "id-2", 0, fold.Conflict)
			for range 2 {
				is.NoErr(w.readers[1].Follower.Poll(context.Background(), 0))
			}
			assertApply(t, w.readers[0], "id-3", 1, fold.Accepted)
			is.NoErr(w.readers[1].Follower.Poll(context.Background(), 0))
			is.Equal(seen.revisions, []int64{1, 3})
		})
	bubble(t, "a peer that is behind is ignored", true, func(t *testing.T, w *world) {
		is := is.New(t)
		assertApply(t, w.readers[0], "id", 0, fold.Accepted)
		ahead := w.readers[0]
		w.readers[0] = w.readers[1]
		ahead.Follower.CheckPeers(context.Background(), time.Now())
		is.Equal(ahead.state().Revision, int64(1))
	})
}

// observer records the revisions that are in force when it is called.
type observer struct {
	reader    *reader
	revisions []int64
}

func (o *observer) ConfigurationChanged() {
	o.revisions = append(o.revisions, o.reader.Query.Current().Revision)
}

// alteredLog changes the batches of reads, and does not hold long polls.
type alteredLog struct {
	configcmd.Log
	alter func(configcmd.Batch) configcmd.Batch
}

func (l alteredLog) Read(ctx context.Context, s string, from int64, n int, _ time.Duration) (configcmd.Batch, error) {
	batch, err := l.Log.Read(ctx, s, from, n, 0)
	return l.alter(batch), err
}

// Guards against a configuration that is lost when the records expire.
func TestSnapshot(t *testing.T) {
	bubble(t, "a new node starts from a snapshot and the records after it", false, func(t *testing.T, w *world) {
		is := is.New(t)
		assertApply(t, w.readers[0], "id-1", 0, fold.Accepted)
		assertSnapshots(t, w, w.readers[0], 1)
		assertApply(t, w.readers[0], "id-2", 1, fold.Accepted)
		w.service.SetFaults(logservice.Faults{RetainCount: 1})
		r := w.newReader()
		is.NoErr(r.Follower.Start(context.Background()))
		is.NoErr(r.Follower.Poll(context.Background(), 0))
		is.Equal(configrecord.EncodeState(r.state()), configrecord.EncodeState(w.readers[0].state()))
	})
	bubble(t, "a late snapshot of a paused node hides no better one", false, func(t *testing.T, w *world) {
		is := is.New(t)
		assertApply(t, w.readers[0], "id-1", 0, fold.Accepted)
		late := configrecord.EncodeSnapshot(w.readers[0].state())
		assertApply(t, w.readers[0], "id-2", 1, fold.Accepted)
		assertSnapshots(t, w, w.readers[0], 1)
		_, err := w.log.Append(context.Background(), configcmd.SnapshotStream, late)
		is.NoErr(err)
		assertApply(t, w.readers[0], "id-3", 2, fold.Accepted)
		w.service.SetFaults(logservice.Faults{RetainCount: 2})
		w.service.Next(configcmd.ApplyStream)
		assertApply(t, w.readers[0], "id-4", 3, fold.Accepted)
		r := w.newReader()
		is.NoErr(r.Follower.Poll(context.Background(), 0))
		is.NoErr(r.Follower.Poll(context.Background(), 0))
		is.Equal(r.state().Next, int64(4))
	})
	bubble(t, "a snapshot is renewed before it expires although nothing changed", false, func(t *testing.T, w *world) {
		assertApply(t, w.readers[0], "id", 0, fold.Accepted)
		assertSnapshots(t, w, w.readers[0], 1)
		assertSnapshots(t, w, w.readers[0], 1)
		time.Sleep(time.Hour)
		assertSnapshots(t, w, w.readers[0], 2)
	})
	bubble(t, "a snapshot that another node appended is enough", false, func(t *testing.T, w *world) {
		assertApply(t, w.readers[0], "id", 0, fold.Accepted)
		assertSnapshots(t, w, w.readers[0], 1)
		is.New(t).NoErr(w.readers[1].Follower.Poll(context.Background(), 0))
		assertSnapshots(t, w, w.readers[1], 1)
	})
}

func assertApply(t *testing.T, r *reader, id string, base int64, v fold.Verdict) {
	t.Helper()
	is := is.New(t)
	d, err := r.Follower.Apply(context.Background(), "a.toml", base, id, []byte(valid))
	is.NoErr(err)
	is.Equal(d.Verdict, v)
	is.Equal(r.Query.Current().Revision, r.state().Revision)
}

// assertSnapshots has the reader check whether a snapshot is due, and asserts how many there are then.
func assertSnapshots(t *testing.T, w *world, r *reader, n int64) {
	t.Helper()
	is := is.New(t)
	is.NoErr(r.Snapshotter.Check(context.Background(), time.Now()))
	is.Equal(w.service.Next(configcmd.SnapshotStream), n)
}
