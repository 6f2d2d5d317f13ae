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

// handlerTransport passes requests to a handler without a network, as tests in a synctest bubble require. A panic,
// by which the handler aborts a connection, becomes an error of the request.
type handlerTransport struct {
	handler http.Handler
}

func (t handlerTransport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	defer func() {
		if recover() != nil {
			err = context.DeadlineExceeded
		}
	}()
	recorder := httptest.NewRecorder()
	t.handler.ServeHTTP(recorder, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

func newClient(service *logservice.Service) *platformlog.Client {
	return platformlog.New("http://log", &http.Client{Transport: handlerTransport{service}})
}

// testNode holds the configuration components of a node.
type testNode struct {
	Follower     *configcmd.Follower
	Snapshotter  *configcmd.Snapshotter
	Query        configquery.Query
	lastRevision int64
}

func (n *testNode) state() fold.State { return n.Query.Folded() }

// singleHostMembers is a fleet of one host, which is therefore the owner of the snapshots.
type singleHostMembers struct{}

func (singleHostMembers) Self() (fleet.Host, string)  { return fleet.Host{ID: "self"}, "" }
func (singleHostMembers) Live(time.Time) []fleet.Host { return []fleet.Host{{ID: "self"}} }

// harness is a stand-in of the log service and the nodes that read the log.
type harness struct {
	service *logservice.Service
	log     *platformlog.Client
	peers   bool
	nodes   []*testNode
	// applyRecords holds every record of the apply stream, including expired ones.
	applyRecords [][]byte
	// earlierStates holds the states that outdated snapshots are made of.
	earlierStates []fold.State
	violations    []string

	// reportedDecisions holds the decisions that Apply returned, by apply ID.
	reportedDecisions map[string]fold.Decision
	idCount           int
}

func newHarness(peers bool) *harness {
	h := &harness{peers: peers, service: logservice.New(logservice.Faults{}), reportedDecisions: map[string]fold.Decision{}}
	h.log = newClient(h.service)
	for range nodeCount {
		h.nodes = append(h.nodes, h.newNode())
	}
	return h
}

func (h *harness) newNode() *testNode {
	config := table.New(fleet.Host{}, "").Config
	n := &testNode{
		Follower: configcmd.New(newClient(h.service), nil, config, zerolog.Nop()),
		Query:    configquery.Query{Config: config},
	}
	if h.peers {
		n.Follower.Peers = h
	}
	policy := fold.SnapshotPolicy{MaxRecords: 2, MaxAge: time.Hour}
	n.Snapshotter = configcmd.NewSnapshotter(n.Follower, singleHostMembers{}, policy, zerolog.Nop())
	return n
}

// HighestRevision implements configcmd.Peers.
func (h *harness) HighestRevision() int64 {
	highest, _ := fold.HighestRevision(h.States(context.Background()))
	return highest.Revision
}

// States implements configcmd.Peers. The states are encoded and decoded as between processes.
func (h *harness) States(context.Context) []fold.State {
	var states []fold.State
	for _, n := range h.nodes {
		if s, err := configrecord.DecodeState(configrecord.EncodeState(n.state())); err == nil {
			states = append(states, s)
		}
	}
	return states
}

func (h *harness) newID() string {
	h.idCount++
	return fmt.Sprintf("id-%d", h.idCount)
}

func (h *harness) changeFaults(change func(*logservice.Faults)) {
	faults := h.service.Faults()
	change(&faults)
	h.service.SetFaults(faults)
}

func (h *harness) addViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// readApplyRecords reads the new records of the apply stream with the faults of the log service suspended.
func (h *harness) readApplyRecords() {
	faults := h.service.Faults()
	h.service.SetFaults(logservice.Faults{})
	defer h.service.SetFaults(faults)
	batch, err := h.log.Read(context.Background(), configcmd.ApplyStream, int64(len(h.applyRecords)), 1000, 0)
	if err != nil {
		h.addViolation("cannot read the log with faults suspended: %v", err)
	}
	for _, r := range batch.Records {
		h.applyRecords = append(h.applyRecords, r.Data)
	}
}

// referenceFold is a simple reference implementation of the fold, independent of fold.Step.
func referenceFold(records [][]byte) fold.State {
	s := fold.State{Next: int64(len(records)), Files: map[string]fold.File{}, Decisions: map[string]fold.Decision{}}
	for i, data := range records {
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

// checkNodes compares the state and configuration of every node with the reference fold of the records that it covers.
func (h *harness) checkNodes(when string) {
	h.readApplyRecords()
	for i, n := range h.nodes {
		s := n.state()
		if s.Next > int64(len(h.applyRecords)) {
			h.addViolation("%s: node %d covers %d of %d records", when, i, s.Next, len(h.applyRecords))
			continue
		}
		want := configrecord.EncodeState(referenceFold(h.applyRecords[:s.Next]))
		if got := configrecord.EncodeState(s); !bytes.Equal(got, want) {
			h.addViolation("%s: node %d has state %s, want %s", when, i, got, want)
		}
		if s.Revision < n.lastRevision {
			h.addViolation("%s: node %d went from revision %d to %d", when, i, n.lastRevision, s.Revision)
		}
		n.lastRevision = s.Revision
		if fresh, _ := configcmd.Compile(s, nil); !reflect.DeepEqual(fresh, n.Query.Current()) {
			h.addViolation("%s: node %d has %v in force, want %v", when, i, n.Query.Current(), fresh)
		}
	}
}

// checkReportedDecisions compares the decisions that operators received with those of the reference fold.
func (h *harness) checkReportedDecisions() {
	decisions := referenceFold(h.applyRecords).Decisions
	for id, reported := range h.reportedDecisions {
		if decisions[id] != reported {
			h.addViolation("apply %s: the operator received decision %v, want %v", id, reported, decisions[id])
		}
	}
}

// canCatchUp reports whether every node can read up to the end of the log: no record has expired, or a peer or a
// retained snapshot covers the expired records.
func (h *harness) canCatchUp() bool {
	ctx := context.Background()
	last, err := h.log.Last(ctx, configcmd.ApplyStream)
	if err != nil || last.OldestOffset == 0 {
		return err == nil
	}
	for _, n := range h.nodes {
		if h.peers && fold.ContinuesWithoutGap(n.state(), last.OldestOffset) {
			return true
		}
	}
	newest, err := h.log.Last(ctx, configcmd.SnapshotStream)
	if err != nil {
		return false
	}
	snapshots, err := h.log.Read(ctx, configcmd.SnapshotStream, max(newest.OldestOffset, newest.NextOffset-16), 16, 0)
	if err != nil {
		return false
	}
	for _, r := range snapshots.Records {
		if s, err := configrecord.DecodeSnapshot(r.Data); err == nil && fold.ContinuesWithoutGap(s, last.OldestOffset) {
			return true
		}
	}
	return false
}
