package node

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/standin/backendservice"
	"egretline.example/egretline/service/api"
)

// Guards against faults in the request path from a caller through a node to a backend server and back.
func TestRequestPath(t *testing.T) {
	f := newFleet(t, 3, 1)
	url := "http://" + f.Nodes[0].Settings.CallerAddress

	t.Run("a node without configuration is not ready and refuses", func(t *testing.T) {
		assertReady(t, f.Nodes[0], false)
		assertOutcome(t, newRequest(t, http.MethodGet, url+"/loans/1"), http.StatusServiceUnavailable, "not-run")
	})
	f.applyConfig(t)
	t.Run("a request is answered", func(t *testing.T) {
		assertReady(t, f.Nodes[0], true)
		assertOutcome(t, newRequest(t, http.MethodGet, url+"/loans/1"), http.StatusOK, "answered")
	})
	t.Run("a request that is not idempotent is answered", func(t *testing.T) {
		assertOutcome(t, newRequest(t, http.MethodPost, url+"/loans/1"), http.StatusOK, "answered")
	})
	t.Run("an unknown token is refused", func(t *testing.T) {
		r := newRequest(t, http.MethodGet, url+"/loans/1")
		r.Header.Set("Authorization", "Bearer other")
		assertOutcome(t, r, http.StatusUnauthorized, "not-run")
	})
	t.Run("a path with dot segments is refused", func(t *testing.T) {
		r := newRequest(t, http.MethodGet, url+"/loans/x")
		r.URL.Path = "/loans/../secrets"
		assertOutcome(t, r, http.StatusNotFound, "not-run")
	})
	t.Run("only the answered requests reached a backend server", func(t *testing.T) {
		assertRuns(t, f, 2)
	})
}

// Guards against a planned stop that cuts off a request in flight.
func TestDrainFinishesRequestsInFlight(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.applyConfig(t)
	for _, b := range f.Backends {
		b.SetFaults(backendservice.Faults{SlowMs: 300})
	}
	result := make(chan int, 1)
	r := newRequest(t, http.MethodGet, "http://"+f.Nodes[0].Settings.CallerAddress+"/loans/1")
	go func() {
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			result <- 0
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		result <- response.StatusCode
	}()
	await(t, func() bool { return totalRuns(f) == 1 })
	f.stop[0]()
	is.New(t).Equal(<-result, http.StatusOK)
}

func assertReady(t *testing.T, n *Node, want bool) {
	t.Helper()
	is := is.New(t)
	response, err := http.Get("http://" + n.Settings.OperatorAddress + "/readyz")
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode == http.StatusOK, want)
}

func assertOutcome(t *testing.T, r *http.Request, status int, outcome string) {
	t.Helper()
	is := is.New(t)
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, status)
	is.Equal(response.Header.Get(api.HeaderOutcome), outcome)
}

func assertRuns(t *testing.T, f *testFleet, want int) {
	t.Helper()
	is.New(t).Equal(totalRuns(f), want)
}

func totalRuns(f *testFleet) int {
	var total int
	for _, b := range f.Backends {
		total += len(b.Runs())
	}
	return total
}
