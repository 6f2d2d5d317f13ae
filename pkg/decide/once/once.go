package once

import (
	"maps"

	"egretline.example/egretline/pkg/fleet"
)

const (
	// AcceptedEpochs is the number of epochs, the current one among them, whose keys a home runs.
	AcceptedEpochs = 2
	// epochsAhead bounds how far ahead of the current epoch a refused key is recorded. The record must last until the
	// epoch has passed, because the refused key would otherwise run in it.
	epochsAhead = 2
	// entryBytes is the estimated memory of an entry without its kept response.
	entryBytes = 512
)

// ID names a key of one tenant. Two tenants can choose the same key without seeing each other's responses.
type ID struct {
	Tenant string
	Key    string
}

// Phase is what a home knows of a key.
type Phase string

// Phases of a key. A key leaves Running once and never returns to it.
const (
	Running  Phase = "running"
	Answered Phase = "answered"
	// Unknown means that the request may have run and that its response was lost.
	Unknown Phase = "unknown"
	// Closed means that the caller may have been told that the request was not run. A closed key is never run: a delayed
	// duplicate would otherwise run after the caller acted on that message.
	Closed Phase = "closed"
)

// Response is a response that is kept for repeated requests.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Entry is the state of one key.
type Entry struct {
	Epoch int64
	Phase Phase
	// Request is the method and target of the first request with the key.
	Request string
	// Response is nil if it was too large to keep, or was dropped for lack of memory.
	Response *Response
}

// Keys is the state of the keys of one home.
type Keys struct {
	Entries map[ID]Entry
	// Kept lists the keys with a kept response, oldest first.
	Kept []ID
	// KeptBytes is the memory of the kept responses.
	KeptBytes int
	// Epoch is the epoch of the last call of Expire.
	Epoch int64
}

// Limits bounds the memory of the keys of one home.
type Limits struct {
	Entries int
	// ResponseBytes bounds one kept response, KeptBytes all of them.
	ResponseBytes int
	KeptBytes     int
}

// DefaultLimits allows 65 keyed requests a second for two epochs: 55,000 requests a second over 840 nodes.
func DefaultLimits() Limits {
	return Limits{Entries: 40_000, ResponseBytes: 64 << 10, KeptBytes: 16 << 20}
}

// Verdict says what becomes of a request with a key at the home of the key.
type Verdict string

// Verdicts on a request with a key.
const (
	// Run means that the caller of Claim runs the request and then calls Finish.
	Run Verdict = "run"
	// Wait means that the request is running. Claim is to be called again after it has finished.
	Wait Verdict = "wait"
	// Repeat means that the kept response is the response.
	Repeat Verdict = "repeat"
	// NotRepeatable means that the request was answered but that the response is not kept.
	NotRepeatable Verdict = "not-repeatable"
	// TellUnknown means that the request may have run, or may still run.
	TellUnknown Verdict = "unknown"
	// Refuse means that the request has not run and will not.
	Refuse Verdict = "refused"
)

// Decision is a verdict with its reason.
type Decision struct {
	Verdict Verdict
	// Response is the kept response with the verdict Repeat.
	Response *Response
	// Reason is a sentence for the caller; empty with the verdicts Run, Wait and Repeat.
	Reason string
}

// Claim decides what becomes of a request with a key whose home is this node. The epoch is the current one. Request is
// the method and target: a key that comes back with another request is a mistake of the caller.
func Claim(k *Keys, id ID, key Key, request string, epoch int64, l Limits) Decision {
	if e, seen := k.Entries[id]; seen {
		return repeated(e, request)
	}
	// A goroutine can be suspended after it read the clock. Keys that Expire has forgotten since must not run again.
	epoch = max(epoch, k.Epoch)
	if key.Epoch <= epoch-AcceptedEpochs {
		return Decision{Verdict: TellUnknown, Reason: "the key has expired; whether it was run is not known any more"}
	}
	if len(k.Entries) >= l.Entries || key.Epoch > epoch+epochsAhead {
		// Not refused as not run: without an entry, a duplicate of this request could run later.
		return Decision{Verdict: TellUnknown, Reason: "the node cannot record the key; repeat the request with the same key"}
	}
	e := Entry{Epoch: key.Epoch, Phase: Running, Request: request}
	if key.Epoch > epoch {
		e.Phase = Closed
	}
	k.Entries[id] = e
	if e.Phase == Closed {
		return repeated(e, request)
	}
	return Decision{Verdict: Run}
}

func repeated(e Entry, request string) Decision {
	if e.Request != request {
		return Decision{Verdict: Refuse, Reason: "the key was used for another request"}
	}
	switch e.Phase {
	case Running:
		return Decision{Verdict: Wait}
	case Answered:
		if e.Response == nil {
			return Decision{Verdict: NotRepeatable, Reason: "the request was answered; its response is not kept"}
		}
		return Decision{Verdict: Repeat, Response: e.Response}
	case Closed:
		return Decision{Verdict: Refuse, Reason: "the request was not run and the key is spent; use a new key"}
	default:
		return Decision{Verdict: TellUnknown, Reason: "the request was started and its outcome is not known"}
	}
}

// Finish records the outcome of a request that Claim said to run. The response is nil if there is none to keep. Keeping
// it may drop older ones. Finish keeps no reference to a response above the limit.
func Finish(k *Keys, id ID, outcome fleet.Outcome, r *Response, l Limits) {
	e, seen := k.Entries[id]
	if !seen || e.Phase != Running {
		return
	}
	switch outcome {
	case fleet.Answered:
		e.Phase = Answered
	case fleet.NotRun:
		e.Phase = Closed
	default:
		e.Phase = Unknown
	}
	if e.Phase == Answered && r != nil && size(r) <= min(l.ResponseBytes, l.KeptBytes) {
		e.Response = r
		k.Kept = append(k.Kept, id)
		k.KeptBytes += size(r)
	}
	k.Entries[id] = e
	for k.KeptBytes > l.KeptBytes {
		dropOldest(k)
	}
}

// Expire forgets the keys of epochs that are not accepted any more. Running requests stay until they finish.
func Expire(k *Keys, epoch int64) {
	if epoch == k.Epoch {
		return
	}
	k.Epoch = epoch
	expired := func(e Entry) bool { return e.Phase != Running && e.Epoch <= epoch-AcceptedEpochs }
	kept := k.Kept[:0]
	for _, id := range k.Kept {
		if e := k.Entries[id]; expired(e) {
			k.KeptBytes -= size(e.Response)
			continue
		}
		kept = append(kept, id)
	}
	clear(k.Kept[len(kept):])
	k.Kept = kept
	maps.DeleteFunc(k.Entries, func(_ ID, e Entry) bool { return expired(e) })
}

// Bytes returns an estimate of the memory of all keys.
func Bytes(k *Keys) int {
	return len(k.Entries)*entryBytes + k.KeptBytes
}

func dropOldest(k *Keys) {
	id := k.Kept[0]
	k.Kept = k.Kept[1:]
	e := k.Entries[id]
	k.KeptBytes -= size(e.Response)
	e.Response = nil
	k.Entries[id] = e
}

func size(r *Response) int {
	n := len(r.Body)
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}
