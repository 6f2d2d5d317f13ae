package fleetproc

import (
	"fmt"
	"net/url"

	"egretline.example/egretline/pkg/load"
	"egretline.example/egretline/pkg/loadcmd"
	"egretline.example/egretline/pkg/standin/backendservice"
)

// Promise is one of the invariants that a run is checked against.
type Promise struct {
	Name string
	// Checked is the number of requests that the promise is about.
	Checked int
	// Broken lists the requests that broke it.
	Broken []string
}

// Check compares what callers saw with what backend servers ran. drained lists the addresses of nodes that were stopped
// gracefully.
func Check(lines []loadcmd.RequestLine, runs []backendservice.Run, drained []string) []Promise {
	count := runsByNonce(runs)
	atMostOnce := Promise{Name: "no non-idempotent request ran twice"}
	notRun := Promise{Name: "no request that was reported as not run has run"}
	whole := Promise{Name: "no response was wrong or truncated and passed for complete"}
	graceful := Promise{Name: "a graceful stop cut no request"}
	for _, l := range lines {
		if !l.Idempotent {
			add(&atMostOnce, l, count[l.Nonce] > 1)
		}
		if l.Class == load.NotRun || l.Class == load.NoEntry || l.Class == load.NotSent {
			add(&notRun, l, count[l.Nonce] > 0)
		}
		if l.Class == load.Answered || l.Class == load.WrongResponse || l.Class == load.DigestMismatch {
			add(&whole, l, l.Class != load.Answered || count[l.Nonce] == 0)
		}
		for _, address := range drained {
			if l.Node == address {
				add(&graceful, l, l.Class == load.TransportError)
			}
		}
	}
	return []Promise{atMostOnce, notRun, whole, graceful}
}

func add(p *Promise, l loadcmd.RequestLine, broken bool) {
	p.Checked++
	if broken {
		p.Broken = append(p.Broken, fmt.Sprintf("%s (%s, %s, node %s, %s%s)", l.Nonce, l.Flow, l.Class, l.Node, l.Reason, l.Detail))
	}
}

// runsByNonce counts the runs of each request of the load tool, which puts its nonce into the URI.
func runsByNonce(runs []backendservice.Run) map[string]int {
	count := map[string]int{}
	for _, r := range runs {
		u, err := url.ParseRequestURI(r.URI)
		if err != nil {
			continue
		}
		if nonce := u.Query().Get("nonce"); nonce != "" {
			count[nonce]++
		}
	}
	return count
}
