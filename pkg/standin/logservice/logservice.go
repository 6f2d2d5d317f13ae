// Package logservice simulates the platform's append-only log service: an HTTP handler that keeps streams in memory.
// Offsets of a stream are consecutive and start at zero.
package logservice

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/service/api"
)

const (
	// maxRecordBytes bounds the size of one record in bytes.
	maxRecordBytes = 64 << 20
	// maxPollWait bounds the wait of a long poll.
	maxPollWait = time.Minute
	// defaultReadRecords is the limit of a read that has no limit parameter.
	defaultReadRecords = 100
	// lockRank is the rank of the only lock in the lock order.
	lockRank guard.Rank = 1
)

// Service is a simulated log service. It implements http.Handler.
type Service struct {
	state *guard.Guard[State]
	mux   *http.ServeMux
}

// State is the state of the service under its lock.
type State struct {
	Streams map[string]*Stream
	Faults  Faults
	// Changed is closed and replaced on each append and each change of the faults.
	Changed chan struct{}
}

// Stream is one append-only sequence of records.
type Stream struct {
	// FirstOffset is the offset of the first element of Records.
	FirstOffset int64
	Records     []api.LogRecord
}

// New returns an empty log service with the given faults and retention.
func New(faults Faults) *Service {
	s := &Service{
		state: guard.New(lockRank, State{
			Streams: map[string]*Stream{}, Faults: faults, Changed: make(chan struct{}),
		}),
		mux: http.NewServeMux(),
	}
	s.mux.HandleFunc("POST /streams/{stream}/records", s.handleAppend)
	s.mux.HandleFunc("GET /streams/{stream}/records", s.handleRead)
	s.mux.HandleFunc("GET /faults", s.handleGetFaults)
	s.mux.HandleFunc("POST /faults", s.handlePostFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// NextOffset returns the offset that the next append to the stream gets.
func (s *Service) NextOffset(stream string) int64 {
	result, _ := s.readRecords(stream, readQuery{from: -1}, time.Now())
	return result.NextOffset
}

func (s *Service) handleAppend(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, lost := s.appendRecord(r.PathValue("stream"), body, time.Now())
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, api.LogAppended{Offset: offset})
}

// appendRecord appends the record and reports whether the response must be lost.
func (s *Service) appendRecord(stream string, body []byte, now time.Time) (offset int64, lost bool) {
	s.state.Write(guard.Held{}, func(_ guard.Held, v *State) {
		t := v.Streams[stream]
		if t == nil {
			t = &Stream{}
			v.Streams[stream] = t
		}
		offset = t.FirstOffset + int64(len(t.Records))
		t.Records = append(t.Records, api.LogRecord{Offset: offset, Time: now, Data: body})
		expireRecords(t, v.Faults, now)
		if v.Faults.LoseReplies > 0 {
			v.Faults.LoseReplies--
			lost = true
		}
		notifyChange(v)
	})
	return offset, lost
}

// notifyChange wakes all long polls.
func notifyChange(v *State) {
	close(v.Changed)
	v.Changed = make(chan struct{})
}

// readQuery selects up to limit records from an offset, or only the last record.
type readQuery struct {
	from  int64
	limit int64
	last  bool
}

func (s *Service) handleRead(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	q := readQuery{
		from:  intParameter(r, "from", 0),
		limit: intParameter(r, "limit", defaultReadRecords),
		last:  r.FormValue("last") == "1",
	}
	wait := time.Duration(intParameter(r, "wait-ms", 0)) * time.Millisecond
	timer := time.NewTimer(min(wait, maxPollWait))
	defer timer.Stop()
	for {
		result, changed := s.readRecords(r.PathValue("stream"), q, time.Now())
		switch {
		case !q.last && q.from < result.OldestOffset:
			writeJSON(w, http.StatusGone, result)
			return
		case len(result.Records) > 0 || q.last || wait <= 0:
			writeJSON(w, http.StatusOK, result)
			return
		}
		select {
		case <-changed:
			if !s.applyFaults(w, r) {
				return
			}
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// readRecords expires old records. It returns the records that q selects, and a channel that is closed at the next
// change.
func (s *Service) readRecords(stream string, q readQuery, now time.Time) (result api.LogRecords, changed chan struct{}) {
	s.state.Write(guard.Held{}, func(_ guard.Held, v *State) {
		changed = v.Changed
		result.Records = []api.LogRecord{}
		t := v.Streams[stream]
		if t == nil {
			return
		}
		expireRecords(t, v.Faults, now)
		result.OldestOffset = t.FirstOffset
		result.NextOffset = t.FirstOffset + int64(len(t.Records))
		if q.last {
			q.from, q.limit = max(result.NextOffset-1, result.OldestOffset), 1
		}
		if q.from < result.OldestOffset || q.from >= result.NextOffset {
			return
		}
		end := min(q.from+max(q.limit, 0), result.NextOffset)
		result.Records = append(result.Records, t.Records[q.from-t.FirstOffset:end-t.FirstOffset]...)
	})
	return result, changed
}

// intParameter returns the query parameter, or the default value if it is missing or not a number.
func intParameter(r *http.Request, key string, defaultValue int64) int64 {
	n, err := strconv.ParseInt(r.FormValue(key), 10, 64)
	if err != nil {
		return defaultValue
	}
	return n
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
