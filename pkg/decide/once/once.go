package once

import (
	"maps"

	"egretline.example/egretline/pkg/fleet"
)

const (
	// AcceptedEpochs is the number of epochs, including the current one, whose keys an owner accepts for execution.
	AcceptedEpochs = 2
	// maxEpochsAhead is the maximum number of epochs by which a refused key that is recorded may be ahead of the current
	// epoch. The record must be kept until the key's epoch has passed; otherwise the refused key would be executed in that
	// epoch.
	maxEpochsAhead = 2
	// entryOverheadBytes is the estimated memory of an entry without its stored response.
	entryOverheadBytes = 512
)

// TenantKey identifies a key of one tenant. Two tenants can use the same key without seeing each other's responses.
type TenantKey struct {
	Tenant string
	Key    string
}

// Phase is the state of a key at its owner.
type Phase string

// Phases of a key. A key that has left Running never returns to it.
const (
	Running  Phase = "running"
	Answered Phase = "answered"
	// Unknown means that the request may have run and its response was lost.
	Unknown Phase = "unknown"
	// Closed means that the caller may have received the outcome not-run. Requests with a closed key are never executed;
	// otherwise a delayed duplicate could run after the caller acted on that outcome.
	Closed Phase = "closed"
)

// Response is a response that is stored for replay to duplicate requests.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// Entry is the record of one key.
type Entry struct {
	Epoch int64
	Phase Phase
	// Request holds the method and target of the first request with the key.
	Request string
	// Response is nil if there is none, if it was too large to store, or if it was dropped to free memory.
	Response *Response
}

// Keys holds the records of all keys of one owner.
type Keys struct {
	Entries map[TenantKey]Entry
	// KeptKeys lists the keys with a stored response, oldest first.
	KeptKeys []TenantKey
	// KeptBytes is the total size of the stored responses.
	KeptBytes int
	// Epoch is the epoch that was passed to the last call of Expire.
	Epoch int64
}

// Limits bounds the memory used for the keys of one owner.
type Limits struct {
	MaxEntries int
	// MaxResponseBytes bounds the size of one stored response, and MaxKeptBytes the total size of all of them.
	MaxResponseBytes int
	MaxKeptBytes     int
}

// DefaultLimits returns limits for 65 keyed requests per second during two epochs, which is 55,000 requests per second
// over 840 nodes.
func DefaultLimits() Limits {
	return Limits{MaxEntries: 40_000, MaxResponseBytes: 64 << 10, MaxKeptBytes: 16 << 20}
}

// Verdict is the decision of a key's owner on a request with that key.
type Verdict string

// Verdicts on a request with a key.
const (
	// Run means that the caller of Claim must execute the request and then call Finish.
	Run Verdict = "run"
	// Wait means that an earlier request with the key is running. The caller must call Claim again after it has finished.
	Wait Verdict = "wait"
	// Replay means that the stored response is replayed.
	Replay Verdict = "repeat"
	// NotReplayable means that the request was answered but the response is not stored.
	NotReplayable Verdict = "not-repeatable"
	// ReportUnknown means that the request may have run, or may still run, and its outcome is reported as unknown.
	ReportUnknown Verdict = "unknown"
	// Refuse means that this request has not run and never will.
	Refuse Verdict = "refused"
)

// Decision is the result of Claim.
type Decision struct {
	Verdict Verdict
	// Response is the stored response if the verdict is to replay it.
	Response *Response
	// Reason is the explanation for the caller of an unknown outcome, a refusal or a missing response; empty otherwise.
	Reason string
}

// Claim decides how the owner handles a request with a key. The argument epoch is the owner's current epoch, and request
// is the method and target. Using a key again for a different request is an error of the caller, and is refused.
func Claim(k *Keys, tenantKey TenantKey, key Key, request string, epoch int64, l Limits) Decision {
	if e, seen := k.Entries[tenantKey]; seen {
		return decideDuplicate(e, request)
	}
	// A goroutine can be suspended after reading the clock. Keys that Expire removed in the meantime must not run again.
	epoch = max(epoch, k.Epoch)
	if key.Epoch <= epoch-AcceptedEpochs {
		return Decision{Verdict: ReportUnknown, Reason: "the key has expired; whether it was run is not known any more"}
	}
	if len(k.Entries) >= l.MaxEntries || key.Epoch > epoch+maxEpochsAhead {
		// The verdict is not Refuse, because without an entry a duplicate of this request could run later.
		return Decision{Verdict: ReportUnknown, Reason: "the node cannot record the key; repeat the request with the same key"}
	}
	e := Entry{Epoch: key.Epoch, Phase: Running, Request: request}
	if key.Epoch > epoch {
		e.Phase = Closed
	}
	k.Entries[tenantKey] = e
	if e.Phase == Closed {
		return decideDuplicate(e, request)
	}
	return Decision{Verdict: Run}
}

func decideDuplicate(e Entry, request string) Decision {
	if e.Request != request {
		return Decision{Verdict: Refuse, Reason: "the key was used for another request"}
	}
	switch e.Phase {
	case Running:
		return Decision{Verdict: Wait}
	case Answered:
		if e.Response == nil {
			return Decision{Verdict: NotReplayable, Reason: "the request was answered; its response is not kept"}
		}
		return Decision{Verdict: Replay, Response: e.Response}
	case Closed:
		return Decision{Verdict: Refuse, Reason: "the request was not run and the key is spent; use a new key"}
	default:
		return Decision{Verdict: ReportUnknown, Reason: "the request was started and its outcome is not known"}
	}
}

// Finish records the outcome of a request for which Claim returned Run. The response is nil if there is none to store.
// Storing it may drop older responses. Finish does not retain a response that exceeds the size limit.
func Finish(k *Keys, tenantKey TenantKey, outcome fleet.Outcome, r *Response, l Limits) {
	e, seen := k.Entries[tenantKey]
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
	if e.Phase == Answered && r != nil && responseBytes(r) <= min(l.MaxResponseBytes, l.MaxKeptBytes) {
		e.Response = r
		k.KeptKeys = append(k.KeptKeys, tenantKey)
		k.KeptBytes += responseBytes(r)
	}
	k.Entries[tenantKey] = e
	for k.KeptBytes > l.MaxKeptBytes {
		dropOldestResponse(k)
	}
}

// Expire removes the keys of epochs that are no longer accepted. Keys of running requests stay until Finish is called.
func Expire(k *Keys, epoch int64) {
	if epoch == k.Epoch {
		return
	}
	k.Epoch = epoch
	expired := func(e Entry) bool { return e.Phase != Running && e.Epoch <= epoch-AcceptedEpochs }
	remaining := k.KeptKeys[:0]
	for _, tenantKey := range k.KeptKeys {
		if e := k.Entries[tenantKey]; expired(e) {
			k.KeptBytes -= responseBytes(e.Response)
			continue
		}
		remaining = append(remaining, tenantKey)
	}
	clear(k.KeptKeys[len(remaining):])
	k.KeptKeys = remaining
	maps.DeleteFunc(k.Entries, func(_ TenantKey, e Entry) bool { return expired(e) })
}

// EstimatedBytes returns the estimated memory used by all keys.
func EstimatedBytes(k *Keys) int {
	return len(k.Entries)*entryOverheadBytes + k.KeptBytes
}

func dropOldestResponse(k *Keys) {
	tenantKey := k.KeptKeys[0]
	k.KeptKeys = k.KeptKeys[1:]
	e := k.Entries[tenantKey]
	k.KeptBytes -= responseBytes(e.Response)
	e.Response = nil
	k.Entries[tenantKey] = e
}

func responseBytes(r *Response) int {
	n := len(r.Body)
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}
