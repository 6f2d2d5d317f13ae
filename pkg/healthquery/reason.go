package healthquery

import (
	"fmt"
	"time"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/table"
)

var failureDescriptions = map[detect.FailureKind]string{
	detect.FailureError:       "it answered with errors or broke off responses",
	detect.FailureUnreachable: "it could not be reached",
	detect.FailureSlow:        "it was much slower than the other servers",
	detect.FailureStalled:     "requests to it got no response in time",
	detect.FailureProbe:       "its health check failed",
}

var leavingDescriptions = map[table.LeavingReason]string{
	table.LeavingAnnounced: "it announced this itself",
	table.LeavingRefused:   "it refused new requests because it is draining",
	table.LeavingListed:    "the host list says so",
	table.LeavingRemoved:   "the configuration no longer has it",
	table.LeavingReported:  "another node found this out",
}

// describeState explains the state of the server to operators in one or two full sentences.
func describeState(s *table.Backend, health *table.ServiceHealth, now time.Time) string {
	switch {
	case s.Leaving:
		return fmt.Sprintf("This server is leaving, because %s. It gets no new requests.", leavingDescriptions[s.LeavingReason])
	case detect.OutOfUse(&s.State):
		return describeEjection(s, now)
	case s.KeptByFloor:
		return fmt.Sprintf("This server is suspected, because %s. It stays in use, because the service needs at least %d "+
			"servers that are known to work.", describeFailure(s), health.Floor)
	case s.State.Ejection.ForFloor:
		return "This server was out of use and has returned early, because too few others are known to work."
	case s.State.LastRequestResult.IsZero():
		return "This server is in use. No request has shown yet whether it works."
	default:
		return "This server is in use."
	}
}

// describeEjection explains why the server is out of use and when it gets trial requests.
func describeEjection(s *table.Backend, now time.Time) string {
	e := s.State.Ejection
	source := "nodes in several zones suspect it"
	if e.Scope == detect.EjectedInZone {
		source = "this node's zone suspects it"
	}
	cause := "This server is out of use here, because " + source
	if s.State.Sum > 0 {
		cause += ": " + describeFailure(s)
	}
	if remaining := e.Until.Sub(now); remaining > 0 {
		return fmt.Sprintf("%s. It is tried again in %d seconds.", cause, int(remaining.Seconds())+1)
	}
	return fmt.Sprintf("%s. It is being tried again, and %d more requests have to succeed.", cause,
		detect.TrialsToReadmit-e.Successes)
}

func describeFailure(s *table.Backend) string {
	if description, ok := failureDescriptions[s.State.LastFailureKind]; ok {
		return description
	}
	return "requests to it failed"
}
