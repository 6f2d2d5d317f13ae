// Package logservice is a stand-in of the platform's append-only log service: an HTTP handler that keeps streams in
// memory. Offsets of a stream are dense and start at zero.
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
	// maxRecord bounds the size of one record in bytes.
	maxRecord = 64 << 20
	// maxWait bounds a long poll.
	maxWait = time.Minute
	// defaultLimit is the number of records of a read that states none.
	defaultLimit = 100
	// rankStreams is the place of the stand-in's only lock in its lock order.
	rankStreams guard.Rank = 1
)

// Service is the log service.
type Service struct {
	streams *guard.Guard[Streams]
	mux     *http.ServeMux
}

// Streams is the state of the service.
type Streams struct {
	Streams map[string]*Stream
	Faults  Faults
	// Changed is closed and replaced at each append and each change of faults.
	Changed chan struct{}
}

// Stream is one append-only sequence of records.
type Stream struct {
	// First is the offset of the first element of Records.
	First   int64
	Records []api.LogRecord
}

// New returns an empty log service with the given faults and retention.
func New(faults Faults) *Service {
	s := &Service{
		streams: guard.New(rankStreams, Streams{
			Streams: map[string]*Stream{}, Faults: faults, Changed: make(chan struct{}),
		}),
		mux: http.NewServeMux(),
	}
	s.mux.HandleFunc("POST /streams/{stream}/records", s.append)
	s.mux.HandleFunc("GET /streams/{stream}/records", s.read)
	s.mux.HandleFunc("GET /faults", s.getFaults)
	s.mux.HandleFunc("POST /faults", s.postFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// NextOffset returns the offset that the next append to the stream gets.
func (s *Service) NextOffset(stream string) int64 {
	reply, _ := s.view(stream, query{from: -1}, time.Now())
	return reply.Next
}

func (s *Service) append(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, lost := s.add(r.PathValue("stream"), body, time.Now())
	if lost {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, api.LogAppended{Offset: offset})
}

// add appends the record and says whether its reply is to be lost.
func (s *Service) add(stream string, body []byte, now time.Time) (offset int64, lost bool) {
	s.streams.Write(guard.Held{}, func(_ guard.Held, v *Streams) {
		t := v.Streams[stream]
		if t == nil {
			t = &Stream{}
			v.Streams[stream] = t
		}
		offset = t.First + int64(len(t.Records))
		t.Records = append(t.Records, api.LogRecord{Offset: offset, Time: now, Data: body})
		retain(t, v.Faults, now)
		if v.Faults.LoseReplies > 0 {
			v.Faults.LoseReplies--
			lost = true
		}
		announce(v)
	})
	return offset, lost
}

func announce(v *Streams) {
	close(v.Changed)
	v.Changed = make(chan struct{})
}

type query struct {
	from  int64
	limit int64
	last  bool
}

func (s *Service) read(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	q := query{
		from:  number(r, "from", 0),
		limit: number(r, "limit", defaultLimit),
		last:  r.FormValue("last") == "1",
	}
	wait := time.Duration(number(r, "wait-ms", 0)) * time.Millisecond
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		result, changed := s.view(r.PathValue("stream"), q, time.Now())
		switch {
		case !q.last && q.from < result.First:
			reply(w, http.StatusGone, result)
			return
		case len(result.Records) > 0 || q.last || wait <= 0:
			reply(w, http.StatusOK, result)
			return
		}
		select {
		case <-changed:
			if !s.admit(w, r) {
				return
			}
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// view returns the records that the query selects, and a channel that is closed at the next change.
func (s *Service) view(stream string, q query, now time.Time) (result api.LogRecords, changed chan struct{}) {
	s.streams.Write(guard.Held{}, func(_ guard.Held, v *Streams) {
		changed = v.Changed
		result.Records = []api.LogRecord{}
		t := v.Streams[stream]
		if t == nil {
			return
		}
		retain(t, v.Faults, now)
		result.First = t.First
		result.Next = t.First + int64(len(t.Records))
		if q.last {
			q.from, q.limit = max(result.Next-1, result.First), 1
		}
		if q.from < result.First || q.from >= result.Next {
			return
		}
		end := min(q.from+max(q.limit, 0), result.Next)
		result.Records = append(result.Records, t.Records[q.from-t.First:end-t.First]...)
	})
	return result, changed
}

func number(r *http.Request, key string, otherwise int64) int64 {
	n, err := strconv.ParseInt(r.FormValue(key), 10, 64)
	if err != nil {
		return otherwise
	}
	return n
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
