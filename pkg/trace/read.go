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
	// maxLine bounds one line. A definition of 1000 servers takes about 70 KB.
	maxLine = 1 << 20
	// maxSpan bounds the time span of a trace, so that a wrong time stamp does not cost days of sweeps.
	maxSpan = 24 * time.Hour
	// maxMilliseconds bounds a latency, an age and a cold start.
	maxMilliseconds = float64(maxSpan / time.Millisecond)
)

// LineError reports a line of a trace that is not a valid event.
type LineError struct {
	Line   int
	Reason string
}

func (e LineError) Error() string {
	return fmt.Sprintf("line %d of the trace: %s", e.Line, e.Reason)
}

// Read returns the events of a trace. It returns LineError for a line that is not valid, or the wrapped error of r.
func Read(r io.Reader) ([]Event, error) {
	var events []Event
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	n := 0
	for s.Scan() {
		n++
		if len(bytes.TrimSpace(s.Bytes())) == 0 {
			continue
		}
		e, err := decode(s.Bytes(), n)
		if err != nil {
			return nil, err
		}
		if reason := disorder(events, e); reason != "" {
			return nil, LineError{Line: n, Reason: reason}
		}
		events = append(events, e)
	}
	if err := s.Err(); err != nil {
		return nil, eris.Wrapf(err, "read line %d of the trace", n+1)
	}
	return events, nil
}

func decode(text []byte, n int) (Event, error) {
	var l line
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&l); err != nil {
		return Event{}, LineError{Line: n, Reason: err.Error()}
	}
	if d.More() {
		return Event{}, LineError{Line: n, Reason: "more than one value"}
	}
	if reason := invalid(l); reason != "" {
		return Event{}, LineError{Line: n, Reason: reason}
	}
	return toEvent(l), nil
}

func disorder(events []Event, e Event) string {
	if len(events) == 0 {
		return ""
	}
	if e.At.Before(events[len(events)-1].At) {
		return "earlier than the line before"
	}
	if e.At.Sub(events[0].At) > maxSpan {
		return fmt.Sprintf("more than %s after the first line", maxSpan)
	}
	return ""
}

// invalid returns why the line is not an event, or an empty string.
func invalid(l line) string {
	if !inRange(l.LatencyMS) || !inRange(l.AgeMS) || l.Excess < 0 {
		return "a latency, age or excess is out of range"
	}
	if l.Kind != Paused && l.Service == "" {
		return "no service"
	}
	if l.Kind != Paused && l.Kind != Defined && l.Address == "" {
		return "no address"
	}
	if (l.Definition != nil) != (l.Kind == Defined) {
		return "a definition belongs to the kind defined only"
	}
	switch l.Kind {
	case Defined:
		return invalidDefinition(*l.Definition)
	case Started, Responded:
		return missing(l.Request == "", "no request")
	case Ended:
		return missing(l.Request == "" || !knownEvidence(l.Evidence), "no request or no known evidence")
	case Probed:
		return missing(!knownEvidence(l.Evidence), "no known evidence")
	case Reported:
		return missing(l.Peer == "" || l.AvailabilityZone == "", "no peer or no availability zone")
	case Paused:
		return ""
	default:
		return fmt.Sprintf("unknown kind %q", l.Kind)
	}
}

func missing(is bool, reason string) string {
	if is {
		return reason
	}
	return ""
}

func invalidDefinition(d lineDefinition) string {
	if d.Floor < 0 || d.Floor > len(d.Servers) || !inRange(d.ColdStartMS) {
		return "floor or cold start out of range"
	}
	for _, s := range d.Servers {
		if s.Address == "" {
			return "a server without an address"
		}
	}
	return ""
}

func inRange(ms float64) bool {
	return ms >= 0 && ms <= maxMilliseconds
}

func knownEvidence(e fleet.Evidence) bool {
	switch e {
	case fleet.Succeeded, fleet.Failed, fleet.Unreachable, fleet.Shed, fleet.Draining, fleet.Canceled:
		return true
	default:
		return false
	}
}
