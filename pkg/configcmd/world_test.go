package configcmd_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"time"

	"github.com/rs/zerolog"

	"egretline.example/egretline/pkg/configcmd"
	"egretline.example/egretline/pkg/configquery"
	"egretline.example/egretline/pkg/configrecord"
	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/standin/logservice"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/service/platformlog"
)

// direct passes requests to a handler without a network, so that tests can run in a synctest bubble.
type direct struct {
	handler http.Handler
}

func (d direct) RoundTrip(r *http.Request) (response *http.Response, err error) {
	defer func() {
		if recover() != nil {
			err = context.DeadlineExceeded
		}
	}()
	recorder := httptest.NewRecorder()
	d.handler.ServeHTTP(recorder, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

func newClient(service *logservice.Service) *platformlog.Client {
	return platformlog.New("http://log", &http.Client{Transport: direct{service}})
}

// reader is one node as far as configuration goes.
type reader struct {
	Follower    *configcmd.Follower
	Snapshotter *configcmd.Snapshotter
	Query       configquery.Query
	revision    int64
}

func (r *reader) state() fold.State { return r.Query.Folded() }

// alone is a fleet of one host, which therefore appends the snapshots.
type alone struct{}

func (alone) Self() (fleet.Host, string)  { return fleet.Host{ID: "self"}, "" }
func (alone) Live(time.Time) []fleet.Host { return []fleet.Host{{ID: "self"}} }

// world is a log and the nodes that read it.
type world struct {
	service *logservice.Service
	log     *platformlog.Client
	peers   bool
	readers []*reader
	// history holds every record of the apply stream, also the expired ones.
	history [][]byte
	// earlier holds states for late snapshots.
	earlier    []fold.State
	violations []string

	reported map[string]fold.Decision
	ids      int
}

func newWorld(peers bool) *world {
	w := &world{peers: peers, service: logservice.New(logservice.Faults{}), reported: map[string]fold.Decision{}}
	w.log = newClient(w.service)
	for range readers {
		w.readers = append(w.readers, w.newReader())
	}
	return w
}

func (w *world) newReader() *reader {
	config := table.New(fleet.Host{}, "").Config
	r := &reader{
		Follower: configcmd.New(newClient(w.service), nil, config, zerolog.Nop()),
		Query:    configquery.Query{Config: config},
	}
	if w.peers {
		r.Follower.Peers = w
	}
	policy := fold.SnapshotPolicy{Records: 2, Interval: time.Hour}
	r.Snapshotter = configcmd.NewSnapshotter(r.Follower, alone{}, policy, zerolog.Nop())
	return r
}

// HighestRevision implements configcmd.Peers.
func (w *world) HighestRevision() int64 {
	best, _ := fold.Highest(w.States(context.Background()))
	return best.Revision
}

// States implements configcmd.Peers. States pass through their encoding, as between processes.
func (w *world) States(context.Context) []fold.State {
	var states []fold.State
	for _, r := range w.readers {
		if s, err := configrecord.DecodeState(configrecord.EncodeState(r.state())); err == nil {
			states = append(states, s)
		}
	}
	return states
}

func (w *world) newID() string {
	w.ids++
	return fmt.Sprintf("id-%d", w.ids)
}

func (w *world) faults(change func(*logservice.Faults)) {
	f := w.service.Faults()
	change(&f)
	w.service.SetFaults(f)
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// remember reads the new records of the apply stream past the faults.
func (w *world) remember() {
	f := w.service.Faults()
	w.service.SetFaults(logservice.Faults{})
	defer w.service.SetFaults(f)
	batch, err := w.log.Read(context.Background(), configcmd.ApplyStream, int64(len(w.history)), 1000, 0)
	if err != nil {
		w.violate("cannot read the log past the faults: %v", err)
	}
	for _, r := range batch.Records {
		w.history = append(w.history, r.Data)
	}
}

// reference folds the records in the plainest way, apart from the code under test.
func reference(history [][]byte) fold.State {
	s := fold.State{Next: int64(len(history)), Files: map[string]fold.File{}, Decisions: map[string]fold.Decision{}}
	for i, data := range history {
		a, err := configrecord.DecodeApply(data)
		if _, seen := s.Decisions[a.ID]; err != nil || seen {
			continue
		}
		d := fold.Decision{Verdict: fold.Conflict, File: a.File, Base: a.Base, Offset: int64(i)}
		d.Digest = fold.Digest(a.File, a.Contents)
		d.Revision = s.Files[a.File].Revision
		if d.Revision == a.Base {
			d.Verdict, d.Revision, s.Revision = fold.Accepted, int64(i+1), int64(i+1)
			s.Files[a.File] = fold.File{Revision: s.Revision, Contents: a.Contents}
		}
		s.Decisions[a.ID] = d
	}
	return s
}

// check compares every reader with the fold of the records that it covers.
func (w *world) check(when string) {
	w.remember()
	for i, r := range w.readers {
		s := r.state()
		if s.Next > int64(len(w.history)) {
			w.violate("%s: reader %d covers %d of %d records", when, i, s.Next, len(w.history))
			continue
		}
		want := configrecord.EncodeState(reference(w.history[:s.Next]))
		if got := configrecord.EncodeState(s); !bytes.Equal(got, want) {
			w.violate("%s: reader %d has state %s, want %s", when, i, got, want)
		}
		if s.Revision < r.revision {
			w.violate("%s: reader %d went from revision %d to %d", when, i, r.revision, s.Revision)
		}
		r.revision = s.Revision
		if fresh, _ := configcmd.Compile(s, nil); !reflect.DeepEqual(fresh, r.Query.Current()) {
			w.violate("%s: reader %d has %v in force, want %v", when, i, r.Query.Current(), fresh)
		}
	}
}

// checkReports compares what operators were told with the log.
func (w *world) checkReports() {
	decisions := reference(w.history).Decisions
	for id, told := range w.reported {
		if decisions[id] != told {
			w.violate("the operator of %s was told %v, and the log says %v", id, told, decisions[id])
		}
	}
}

// reachable says whether every reader can catch up: nothing has expired, or a reader or a retained snapshot covers what
// has.
func (w *world) reachable() bool {
	ctx := context.Background()
	last, err := w.log.Last(ctx, configcmd.ApplyStream)
	if err != nil || last.First == 0 {
		return err == nil
	}
	for _, r := range w.readers {
		if w.peers && fold.Joins(r.state(), last.First) {
			return true
		}
	}
	newest, err := w.log.Last(ctx, configcmd.SnapshotStream)
	if err != nil {
		return false
	}
	snapshots, err := w.log.Read(ctx, configcmd.SnapshotStream, max(newest.First, newest.Next-16), 16, 0)
	if err != nil {
		return false
	}
	for _, r := range snapshots.Records {
		if s, err := configrecord.DecodeSnapshot(r.Data); err == nil && fold.Joins(s, last.First) {
			return true
		}
	}
	return false
}
