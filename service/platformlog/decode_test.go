package platformlog

import (
	"errors"
	"net/http"
	"testing"

	"egretline.example/egretline/service/api"
)

// Guards against a faulty reply that is taken for a good one, or reported with an error other than ExpiredError and
// UnavailableError, the two that callers distinguish.
func FuzzDecode(f *testing.F) {
	f.Add(http.StatusOK, []byte(`{"first":0,"next":1,"records":[{"offset":0,"time":"2026-01-01T00:00:00Z","data":"eA=="}]}`))
	f.Add(http.StatusGone, []byte(`{"first":3,"next":4}`))
	f.Add(http.StatusServiceUnavailable, []byte("unavailable"))
	f.Fuzz(func(t *testing.T, status int, content []byte) {
		var reply api.LogRecords
		err := decodeReply("read", status, content, &reply)
		switch {
		case err == nil && status != http.StatusOK:
			t.Fatalf("status %d gave no error", status)
		case errors.As(err, &ExpiredError{}) && status != http.StatusGone:
			t.Fatalf("status %d reported as an expired offset", status)
		case err != nil && !errors.As(err, &ExpiredError{}) && !errors.As(err, &UnavailableError{}):
			t.Fatalf("untyped error: %v", err)
		}
	})
}
