package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"egretline.example/egretline/pkg/fleet"
)

const (
	// maxLineBytes bounds one line. A definition of 1000 servers takes about 70 KB.
	maxLineBytes = 1 << 20
	// maxTraceDuration bounds the time span of a trace. Otherwise a wrong time stamp would cost days of simulated sweeps.
	maxTraceDuration = 24 * time.Hour
	// maxDurationMilliseconds bounds a latency, an age and a cold start.
	maxDurationMilliseconds = float64(maxTraceDuration / time.Millisecond)
)

// LineError reports a line of a trace that isn't a valid event.
type LineError struct {
	Line   int
	Reason string
}

func (e LineError) Error() string {
	return fmt.Sprintf("trace line %d: %s", e.Line, e.Reason)
}

// Read returns the events of a trace. It returns a LineError for an invalid line, or the wrapped error of r.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	n := 0
	for s.Scan() {
		n++
		if len(bytes.TrimSpace(s.Bytes())) == 0 {
			continue
		}
		e, err := decodeLine(s.Bytes(), n)
		if err != nil {
			return nil, err
		}
		if reason := orderProblem(events, e); reason != "" {
			return nil, LineError{Line: n, Reason: reason}
		}
		events = append(events, e)
	}
	if err := s.Err(); err != nil {
		return nil, eris.Wrapf(err, "read trace line %d", n+1)
	}
	return events, nil
}

func decodeLine(text []byte, n int) (Event, error) {
	var l eventLine
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&l); err != nil {
		return Event{}, LineError{Line: n, Reason: err.Error()}
	}
	if d.More() {
		return Event{}, LineError{Line: n, Reason: "more than one JSON value"}
	}
	if reason := lineProblem(l); reason != "" {
		return Event{}, LineError{Line: n, Reason: reason}
	}
	return toEvent(l), nil
}

// orderProblem returns why the event cannot follow the events, or an empty string.
func orderProblem(events []Event, e Event) string {
	if len(events) == 0 {
		return ""
	}
	if e.At.Before(events[len(events)-1].At) {
		return "time stamp is earlier than that of the previous line"
	}
	if e.At.Sub(events[0].At) > maxTraceDuration {
		return fmt.Sprintf("time stamp is more than %s after that of the first line", maxTraceDuration)
	}
	return ""
}

// lineProblem returns why the line is not a valid event, or an empty string.
func lineProblem(l eventLine) string {
	if !inRange(l.LatencyMS) || !inRange(l.AgeMS) || l.Excess < 0 {
		return "latency, age or excess is out of range"
	}
	if l.Kind != Paused && l.Service == "" {
		return "service is missing"
	}
	if l.Kind != Paused && l.Kind != Defined && l.Address == "" {
		return "address is missing"
	}
	if (l.Definition != nil) != (l.Kind == Defined) {
		return "definition is missing, or present in an event of another kind than defined"
	}
	switch l.Kind {
	case Defined:
		return definitionProblem(*l.Definition)
	case Started, Responded:
		return reasonIf(l.Request == "", "request is missing")
	case Ended:
		return reasonIf(l.Request == "" || !isKnownEvidence(l.Evidence), "request is missing or evidence is unknown")
	case Probed:
		return reasonIf(!isKnownEvidence(l.Evidence), "evidence is unknown")
	case Reported:
		return reasonIf(l.Peer == "" || l.AvailabilityZone == "", "peer or availability zone is missing")
	case Paused:
		return ""
	default:
		return fmt.Sprintf("unknown kind %q", l.Kind)
	}
}

func reasonIf(condition bool, reason string) string {
	if condition {
		return reason
	}
	return ""
}

func definitionProblem(d definitionLine) string {
	if d.Floor < 0 || d.Floor > len(d.Servers) || !inRange(d.ColdStartMS) {
		return "floor or cold start is out of range"
	}
	for _, s := range d.Servers {
		if s.Address == "" {
			return "address of a server is missing"
		}
	}
	return ""
}

func inRange(ms float64) bool {
	return ms >= 0 && ms <= maxDurationMilliseconds
}

func isKnownEvidence(e fleet.Evidence) bool {
	switch e {
	case fleet.Succeeded, fleet.Failed, fleet.Unreachable, fleet.Shed, fleet.Draining, fleet.IdleClosed, fleet.Canceled:
		return true
	default:
		return false
	}
}
