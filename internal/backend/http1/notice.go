package http1

import (
	"net/http"
	"time"

	"egretline.example/egretline/internal/decide/notice"
	"egretline.example/egretline/internal/http/dialect"
)

// headerRetryAfter is the standard header in which a server that refuses a request gives the time until it wants another.
const headerRetryAfter = "Retry-After"

// serverNotice is what a backend server asked for in its responses. Every response on the connection counts, also a late
// one to an earlier request, because the same server sent it.
type serverNotice struct {
	Leaving  bool
	PauseFor time.Duration
	PauseErr error
}

// add reads the headers of a response.
func (n *serverNotice) add(r *http.Response, h dialect.Headers) {
	n.Leaving = n.Leaving || h.Leaving != "" && r.Header.Get(h.Leaving) == dialect.LeavingValue
	if r.StatusCode != http.StatusServiceUnavailable {
		return
	}
	pause, err := notice.ParseRetryAfter(r.Header.Get(headerRetryAfter))
	n.PauseFor = max(n.PauseFor, pause)
	if err != nil {
		n.PauseErr = err
	}
}
