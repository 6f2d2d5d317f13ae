package logservice

import (
	"encoding/json"
	"net/http"
	"time"

	"egretline.example/egretline/pkg/guard"
)

// Faults is how the service misbehaves and how long it keeps records. The zero value has no fault and keeps everything.
type Faults struct {
	// Outage refuses every request with status 503.
	Outage bool `json:"outage"`
	// Hang accepts requests and never replies to them.
	Hang bool `json:"hang"`
	// SlowMS delays every request by so many milliseconds.
	SlowMS int64 `json:"slow-ms"`
	// LoseReplies breaks the connection of so many appends after they took effect.
	LoseReplies int `json:"lose-replies"`
	// RetainCount is the number of records that a stream keeps; zero keeps all.
	RetainCount int `json:"retain-count"`
	// RetainMS is the age in milliseconds at which a record is removed; zero keeps all.
	RetainMS int64 `json:"retain-ms"`
}

// SetFaults replaces the faults and the retention.
func (s *Service) SetFaults(f Faults) {
	s.streams.Write(guard.Held{}, func(_ guard.Held, v *Streams) {
		v.Faults = f
		announce(v)
	})
}

// Faults returns the present faults.
func (s *Service) Faults() (f Faults) {
	s.streams.Read(guard.Held{}, func(_ guard.Held, v *Streams) { f = v.Faults })
	return f
}

// admit applies the faults that come before a request is processed. It returns false if the request is finished.
func (s *Service) admit(w http.ResponseWriter, r *http.Request) bool {
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

// retain removes the records that count or age no longer allow.
func retain(t *Stream, f Faults, now time.Time) {
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
	t.First += int64(drop)
}

func (s *Service) getFaults(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.Faults())
}

func (s *Service) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	reply(w, http.StatusOK, f)
}
