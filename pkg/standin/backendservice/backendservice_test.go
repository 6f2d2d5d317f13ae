package backendservice

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against simulated faults that have no visible effect on a caller. Every fleet test would then pass.
func TestFaults(t *testing.T) {
	t.Run("a healthy response passes its own check", func(t *testing.T) {
		c := exchange(t, Faults{}, "r1")
		assertIntact(t, c, "r1")
		assertRuns(t, c, 1)
	})
	t.Run("a refusal never runs", func(t *testing.T) {
		for _, f := range []Faults{{Draining: true}, {ShedFraction: 1}} {
			c := exchange(t, f, "r1")
			is.New(t).True(c.header.Get(headerRefused) != "")
			assertRuns(t, c, 0)
		}
	})
	t.Run("an error response counts as a run", func(t *testing.T) {
		c := exchange(t, Faults{ErrorFraction: 1}, "r1")
		is.New(t).Equal(c.status, http.StatusInternalServerError)
		assertRuns(t, c, 1)
	})
	t.Run("a truncated body breaks the connection", func(t *testing.T) {
		c := exchange(t, Faults{TruncateFraction: 1}, "r1")
		is.New(t).True(c.err != nil)
	})
	t.Run("short and corrupt bodies are seen through the digest only", func(t *testing.T) {
		for _, f := range []Faults{{ShortFraction: 1}, {CorruptFraction: 1}} {
			c := exchange(t, f, "r1")
			is := is.New(t)
			is.NoErr(c.err)
			is.True(Digest(c.body) != c.header.Get("Content-Digest"))
		}
	})
	t.Run("a crossed response is whole and belongs to the earlier request", func(t *testing.T) {
		c := exchange(t, Faults{CrossedFraction: 1}, "r1", "r2")
		assertIntact(t, c, "r1")
	})
	t.Run("a leaving server announces it and serves", func(t *testing.T) {
		c := exchange(t, Faults{Leaving: true}, "r1")
		is.New(t).Equal(c.header.Get(headerLeaving), "true")
		assertIntact(t, c, "r1")
	})
	t.Run("flapping fails in the first half of the period", func(t *testing.T) {
		is := is.New(t)
		f := Faults{FlapPeriodMs: 1000}
		is.True(inFailingHalf(f, 400*time.Millisecond))
		is.True(!inFailingHalf(f, 600*time.Millisecond))
		is.True(inFailingHalf(f, 1200*time.Millisecond))
	})
}

// Guards against a stall that health checks detect, and against stalled requests that keep their slot after the caller
// has gone.
func TestStall(t *testing.T) {
	s := New(Settings{Slots: 1})
	s.SetFaults(Faults{StallFraction: 1})
	server := httptest.NewServer(s)
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		ended <- send(ctx, server.URL+"/work", "r1").err
	}()
	awaitCounts(t, s, func(c Counts) bool { return c.Runs == 1 })

	t.Run("the health endpoint responds", func(t *testing.T) {
		is.New(t).Equal(send(t.Context(), server.URL+"/health", "").status, http.StatusOK)
	})
	t.Run("cancellation frees the slot", func(t *testing.T) {
		cancel()
		is.New(t).True(<-ended != nil)
		awaitCounts(t, s, func(c Counts) bool { return c.Canceled == 1 })
	})
	t.Run("the announced timeout ends the run", func(t *testing.T) {
		r := httptest.NewRequest(http.MethodGet, "/work", strings.NewReader(""))
		r.Header.Set(headerTimeout, "1")
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		is.New(t).Equal(w.Code, http.StatusGatewayTimeout)
	})
	t.Run("clearing the fault resumes the run", func(t *testing.T) {
		go func() { ended <- send(t.Context(), server.URL+"/work", "r3").err }()
		awaitCounts(t, s, func(c Counts) bool { return c.Runs == 3 })
		s.SetFaults(Faults{})
		is.New(t).NoErr(<-ended)
	})
}

// Guards against accepting a misspelled fault, which would leave the server healthy.
func TestPostFaults(t *testing.T) {
	s := New(Settings{})
	for body, status := range map[string]int{
		`{"draining":true}`: http.StatusNoContent,
		`{"drainnig":true}`: http.StatusBadRequest,
	} {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/faults", strings.NewReader(body)))
		is.New(t).Equal(w.Code, status)
	}
	is.New(t).True(s.Faults().Draining)
}

type result struct {
	status int
	header http.Header
	body   []byte
	err    error
	runs   []Run
}

// exchange sends the requests one after the other and returns the result of the last one.
func exchange(t *testing.T, f Faults, ids ...string) result {
	t.Helper()
	s := New(Settings{Profiles: []Profile{{Prefix: "/work", BodyBytes: 4096}}})
	s.SetFaults(f)
	server := httptest.NewServer(s)
	defer server.Close()
	var c result
	for _, id := range ids {
		c = send(t.Context(), server.URL+"/work", id)
	}
	c.runs = s.Runs()
	return c
}

func send(ctx context.Context, url, id string) result {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return result{err: err}
	}
	r.Header.Set(headerRequestID, id)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: body, err: err}
}

func assertIntact(t *testing.T, c result, id string) {
	t.Helper()
	is := is.New(t)
	is.NoErr(c.err)
	is.Equal(len(c.body), 4096)
	is.Equal(Digest(c.body), c.header.Get("Content-Digest"))
	is.Equal(c.header.Get(headerRequestID), id)
	line, _, _ := strings.Cut(string(c.body), "\n")
	var e Echo
	is.NoErr(json.Unmarshal([]byte(line), &e))
	is.Equal(e.RequestID, id)
}

func assertRuns(t *testing.T, c result, n int) {
	t.Helper()
	is.New(t).Equal(len(c.runs), n)
}

// awaitCounts waits until the condition holds. Only the timeout of the test binary bounds the wait.
func awaitCounts(t *testing.T, s *Server, reached func(Counts) bool) {
	t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !reached(s.Counts()) {
		select {
		case <-tick.C:
		case <-t.Context().Done():
			t.Fatal("test was canceled before the counts reached the awaited condition")
		}
	}
}
