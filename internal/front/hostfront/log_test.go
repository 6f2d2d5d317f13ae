package hostfront

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

// assertLogLine fails unless the log has exactly one line with the request ID, and the line has the fields.
func assertLogLine(t *testing.T, log *bytes.Buffer, id string, want map[string]any) {
	t.Helper()
	is := is.New(t)
	lines := 0
	d := json.NewDecoder(log)
	for d.More() {
		var line map[string]any
		is.NoErr(d.Decode(&line))
		if line["request-id"] != id {
			continue
		}
		lines++
		for name, value := range want {
			is.Equal(line[name], value) // field of the line
		}
	}
	is.Equal(lines, 1)
}

// TestLog guards against requests that on-call engineers cannot find by ID or cannot explain. The reason why a failed
// attempt was not retried was once missing from the log if the server had answered.
func TestLog(t *testing.T) {
	answered := table.Result{Outcome: fleet.Answered, Response: true, Status: http.StatusOK, Attempts: 1, Address: "s0"}
	failed := answered
	failed.Status, failed.Attempts, failed.EndReason = http.StatusInternalServerError, 2, retry.RunsSpent
	for name, c := range map[string]struct {
		path   string
		result table.Result
		refuse error
		want   map[string]any
	}{
		"answered": {"/book/1", answered, nil, map[string]any{
			"outcome": "answered", "status": 200.0, "attempts": 1.0, "backend-server": "s0", "revision": 7.0, "ended": "",
		}},
		"failed by the server": {"/book/1", failed, nil, map[string]any{
			"outcome": "answered", "status": 500.0, "attempts": 2.0, "ended": "runs-spent", "route": "bookings",
		}},
		"refused": {"/book/1", table.Result{}, admission.RefusedError{Reason: admission.DeadlineTooClose}, map[string]any{
			"outcome": "not-run", "status": 503.0, "attempts": 0.0, "service": "desk",
		}},
		"without a route": {"/other/", table.Result{}, nil, map[string]any{
			"outcome": "not-run", "status": 404.0, "revision": 7.0,
		}},
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, &fakeDispatcher{Result: c.result, AdmitErr: c.refuse}, func(t *testing.T, f *fixture) {
				var log bytes.Buffer
				f.Handler.Log = zerolog.New(&log)
				f.finishStartup()
				f.get(t, c.path, "Request-Id: r1")
				assertLogLine(t, &log, "r1", c.want)
			})
		})
	}
}
