package logservice

import (
	"encoding/json"
	"net/http"
	"time"

	"egretline.example/egretline/pkg/guard"
)

// Faults sets the simulated failures and the retention of records. The zero value has no failure and keeps all records.
type Faults struct {
	// Outage makes every request fail with status 503.
	Outage bool `json:"outage"`
	// Hang leaves requests without a response until the client disconnects.
	Hang bool `json:"hang"`
	// SlowMS is a delay of every request in milliseconds.
	SlowMS int64 `json:"slow-ms"`
	// LoseReplies is the number of appends whose connection breaks after the record was stored.
	LoseReplies int `json:"lose-replies"`
	// RetainCount is the maximum number of records of a stream. Zero means no limit.
	RetainCount int `json:"retain-count"`
	// RetainMS is the age in milliseconds at which a record expires. Zero means never.
	RetainMS int64 `json:"retain-ms"`
}

// SetFaults replaces the faults and the retention.
func (s *Service) SetFaults(f Faults) {
	s.state.Write(guard.Held{}, func(_ guard.Held, v *State) {
		v.Faults = f
		notifyChange(v)
	})
}

// Faults returns the current faults and retention.
func (s *Service) Faults() (f Faults) {
	s.state.Read(guard.Held{}, func(_ guard.Held, v *State) { f = v.Faults })
	return f
}

// applyFaults applies the faults that affect a request before it is processed. It returns false if the request must not
// be processed.
func (s *Service) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	f := s.Faults()
	if f.SlowMS > 0 {
		timer := time.NewTimer(time.Duration(f.SlowMS) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			return false
		}
	}
	if f.Hang {
		<-r.Context().Done()
		return false
	}
	if f.Outage {
		http.Error(w, "log service is unavailable", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// expireRecords removes the records that exceed the retention by count or age.
func expireRecords(t *Stream, f Faults, now time.Time) {
	drop := 0
	if f.RetainCount > 0 {
		drop = max(0, len(t.Records)-f.RetainCount)
	}
	if f.RetainMS > 0 {
		limit := now.Add(-time.Duration(f.RetainMS) * time.Millisecond)
		for drop < len(t.Records) && t.Records[drop].Time.Before(limit) {
			drop++
		}
	}
	t.Records = t.Records[drop:]
	t.FirstOffset += int64(drop)
}

func (s *Service) handleGetFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Faults())
}

func (s *Service) handlePostFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, http.StatusOK, f)
}
