package logservice

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/service/api"
)

// Guards against simulated faults that are milder than those of the platform's log. Tests that use them would then pass
// without exercising the failure.
func TestService(t *testing.T) {
	runSynctest(t, "a long poll ends with the record it waited for", func(t *testing.T) {
		s := New(Faults{})
		time.AfterFunc(3*time.Second, func() { s.post("records", "a") })
		assertRead(t, s, "from=0&wait-ms=10000", http.StatusOK, 1, 3*time.Second)
	})
	runSynctest(t, "a long poll without a record ends after its wait", func(t *testing.T) {
		assertRead(t, New(Faults{}), "from=0&wait-ms=10000", http.StatusOK, 0, 10*time.Second)
	})
	runSynctest(t, "a long poll does not outlast the start of an outage", func(t *testing.T) {
		s := New(Faults{})
		time.AfterFunc(time.Second, func() { s.SetFaults(Faults{Outage: true}) })
		assertRead(t, s, "from=0&wait-ms=10000", http.StatusServiceUnavailable, 0, time.Second)
	})
	runSynctest(t, "records expire by age", func(t *testing.T) {
		s := New(Faults{RetainMS: 5000})
		s.post("records", "a")
		time.Sleep(3 * time.Second)
		s.post("records", "b")
		assertRead(t, s, "from=0", http.StatusOK, 2, 0)
		time.Sleep(3 * time.Second)
		assertRead(t, s, "from=0", http.StatusGone, 0, 0)
		assertRead(t, s, "from=1", http.StatusOK, 1, 0)
	})
	runSynctest(t, "a slow log delays every request", func(t *testing.T) {
		assertRead(t, New(Faults{SlowMS: 2000}), "from=0", http.StatusOK, 0, 2*time.Second)
	})
	runSynctest(t, "faults are set over HTTP", func(t *testing.T) {
		is := is.New(t)
		s := New(Faults{})
		is.Equal(s.post("faults", `{"outage":true}`).Code, http.StatusOK)
		assertRead(t, s, "from=0", http.StatusServiceUnavailable, 0, 0)
		is.Equal(s.post("faults", `{"outrage":true}`).Code, http.StatusBadRequest)
	})
	runSynctest(t, "a lost reply breaks the connection after the append", func(t *testing.T) {
		s := New(Faults{LoseReplies: 1})
		func() {
			defer func() { is.New(t).Equal(recover(), http.ErrAbortHandler) }()
			s.post("records", "a")
		}()
		assertRead(t, s, "from=0", http.StatusOK, 1, 0)
	})
}

// runSynctest runs fn in a synctest bubble, where time advances once all goroutines are blocked.
func runSynctest(t *testing.T, name string, fn func(t *testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { synctest.Test(t, fn) })
}

func (s *Service) post(kind, body string) *httptest.ResponseRecorder {
	path := "/faults"
	if kind == "records" {
		path = "/streams/s/records"
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return w
}

// assertRead checks the status, the number of records and the duration of a read.
func assertRead(t *testing.T, s *Service, query string, status, records int, wantDuration time.Duration) {
	t.Helper()
	is := is.New(t)
	w := httptest.NewRecorder()
	started := time.Now()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/streams/s/records?"+query, nil))
	is.Equal(w.Code, status)
	is.Equal(time.Since(started), wantDuration)
	var reply api.LogRecords
	if status != http.StatusServiceUnavailable {
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &reply))
	}
	is.Equal(len(reply.Records), records)
}
