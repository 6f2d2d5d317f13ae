package fleetproc

import (
	"fmt"
	"net/url"

	"egretline.example/egretline/pkg/load"
	"egretline.example/egretline/pkg/loadcmd"
	"egretline.example/egretline/pkg/standin/backendservice"
)

// Guarantee is the result of checking one guarantee of the fleet against the requests of a run.
type Guarantee struct {
	Name string
	// Checked is the number of requests to which the guarantee applies.
	Checked int
	// Violations describes each request that violated the guarantee.
	Violations []string
}

// CheckGuarantees checks the outcomes of callers against the runs that backend servers recorded. drained lists the caller
// addresses of nodes that were stopped gracefully.
func CheckGuarantees(lines []loadcmd.RequestLine, runs []backendservice.Run, drained []string) []Guarantee {
	runCount := countRunsByNonce(runs)
	atMostOnce := Guarantee{Name: "no non-idempotent request ran twice"}
	notRun := Guarantee{Name: "no request that was reported as not run has run"}
	intact := Guarantee{Name: "no response was wrong or truncated and passed for complete"}
	graceful := Guarantee{Name: "a graceful stop cut no request"}
	for _, l := range lines {
		if !l.Idempotent {
			recordCheck(&atMostOnce, l, runCount[l.Nonce] > 1)
		}
		if l.Class == load.NotRun || l.Class == load.NoEntry || l.Class == load.NotSent {
			recordCheck(&notRun, l, runCount[l.Nonce] > 0)
		}
		if l.Class == load.Answered || l.Class == load.WrongResponse || l.Class == load.DigestMismatch {
			recordCheck(&intact, l, l.Class != load.Answered || runCount[l.Nonce] == 0)
		}
		for _, address := range drained {
			if l.Node == address {
				recordCheck(&graceful, l, l.Class == load.TransportError)
			}
		}
	}
	return []Guarantee{atMostOnce, notRun, intact, graceful}
}

// recordCheck counts the request as checked, and describes it if it violated the guarantee.
func recordCheck(g *Guarantee, l loadcmd.RequestLine, violated bool) {
	g.Checked++
	if violated {
		g.Violations = append(g.Violations, fmt.Sprintf("%s (%s, %s, node %s, %s%s)",
			l.Nonce, l.Flow, l.Class, l.Node, l.Reason, l.Detail))
	}
}

// countRunsByNonce counts the runs of each request by its nonce, which the load tool puts into the URI.
func countRunsByNonce(runs []backendservice.Run) map[string]int {
	runCount := map[string]int{}
	for _, r := range runs {
		u, err := url.ParseRequestURI(r.URI)
		if err != nil {
			continue
		}
		if nonce := u.Query().Get("nonce"); nonce != "" {
			runCount[nonce]++
		}
	}
	return runCount
}
