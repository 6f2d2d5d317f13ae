package healthquery

import (
	"fmt"
	"time"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/table"
)

var signWords = map[detect.Sign]string{
	detect.SignError:       "it answered with errors or broke off responses",
	detect.SignUnreachable: "it could not be reached",
	detect.SignSlow:        "it was much slower than the other servers",
	detect.SignStalled:     "requests to it got no response in time",
	detect.SignProbe:       "its health check failed",
}

var leavingWords = map[table.LeavingReason]string{
	table.LeavingAnnounced: "it announced this itself",
	table.LeavingRefused:   "it refused new requests because it is draining",
	table.LeavingListed:    "the host list says so",
	table.LeavingRemoved:   "the configuration no longer has it",
	table.LeavingReported:  "another node found this out",
}

// reason explains the state of the server in one or two sentences that can be read aloud.
func reason(s *table.Backend, health *table.Health, now time.Time) string {
	switch {
	case s.Leaving:
		return fmt.Sprintf("This server is leaving, because %s. It gets no new requests.", leavingWords[s.LeavingReason])
	case detect.Out(&s.State):
		return outReason(s, now)
	case s.Kept:
		return fmt.Sprintf("This server is suspected, because %s. It stays in use, because the service needs at least %d "+
			"servers that are known to work.", sign(s), health.Floor)
	case s.State.Ejection.ForFloor:
		return "This server was out of use and has returned early, because too few others are known to work."
	case s.State.LastReal.IsZero():
		return "This server is in use. No request has shown yet whether it works."
	default:
		return "This server is in use."
	}
}

func outReason(s *table.Backend, now time.Time) string {
	e := s.State.Ejection
	from := "nodes in several zones suspect it"
	if e.Scope == detect.Avoided {
		from = "this node's zone suspects it"
	}
	cause := "This server is out of use here, because " + from
	if s.State.Sum > 0 {
		cause += ": " + sign(s)
	}
	if rest := e.Until.Sub(now); rest > 0 {
		return fmt.Sprintf("%s. It is tried again in %d seconds.", cause, int(rest.Seconds())+1)
	}
	return fmt.Sprintf("%s. It is being tried again, and %d more requests have to succeed.", cause,
		detect.NeededTrials-e.Successes)
}

func sign(s *table.Backend) string {
	if w, ok := signWords[s.State.LastSign]; ok {
		return w
	}
	return "requests to it failed"
}
