// Command review-3 runs the scripted cases of the third review.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// broken counts the lines that break a rule.
	broken int
}

// line writes one line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breach writes a line about a broken rule.
func (r *record) breach(format string, args ...any) {
	r.line("BROKEN "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
}

// cases maps the names of the cases to their functions, which run with or without the disruption.
var cases = map[string]func(r *record, trouble bool) error{
	"last-customer":  lastCustomer,
	"shared-address": sharedAddress,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD-FILE")
		os.Exit(exitNotRun)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	r := &record{file: file, start: time.Now()}
	err = cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.line("the case could not run: %v", err)
		os.Exit(exitNotRun)
	}
	r.line("%d broken", r.broken)
	if r.broken > 0 {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
