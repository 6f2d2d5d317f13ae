package once

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egretline.example/egretline/pkg/fleet"
)

// Sequences that expire a key and then send it again are long and rare: with rapid's defaults of 100 runs of 30 steps,
// the test passed for a key table that removes keys one epoch too early.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", "1500")
	_ = flag.Set("rapid.steps", "60")
	os.Exit(m.Run())
}

// ownerNode is one incarnation of the host "h". An earlier incarnation may still run, if it was paused while its
// successor started.
type ownerNode struct {
	incarnation string
	started     time.Time
	keys        Keys
	claimed     []attempt
	running     []attempt
}

type message struct {
	tenant, key, request string
}

// attempt is a message whose key was claimed.
type attempt struct {
	message
	tenantKey TenantKey
}

type harness struct {
	now            time.Time
	owners         []*ownerNode
	sent           []message
	inTransit      []message
	runCounts      map[TenantKey]int
	executed       map[message]bool
	reportedNotRun map[message]bool
	limits         Limits
}

func newHarness() *harness {
	h := &harness{
		now: time.Unix(1000, 0), runCounts: map[TenantKey]int{}, executed: map[message]bool{}, reportedNotRun: map[message]bool{},
		limits: Limits{MaxEntries: 4, MaxResponseBytes: 8, MaxKeptBytes: 14},
	}
	h.restart(nil)
	return h
}

func pick[T any](t *rapid.T, name string, from []T) (T, int) {
	if len(from) == 0 {
		t.Skip("no element to choose for " + name)
	}
	i := rapid.IntRange(0, len(from)-1).Draw(t, name)
	return from[i], i
}

func remove[T any](from []T, i int) []T {
	return append(from[:i:i], from[i+1:]...)
}

// send creates a message with a new key. Its prefix names any incarnation, and a past, the current or a future epoch.
func (h *harness) send(t *rapid.T) {
	owner, _ := pick(t, "owner", h.owners)
	epoch := max(0, Epoch(owner.started, h.now)+rapid.SampledFrom([]int64{0, 0, 0, 0, 0, -1, -2, 1, 2, 3, 4}).Draw(t, "epoch offset"))
	key := Key{Host: "h", Incarnation: owner.incarnation, Epoch: epoch, Unique: rapid.SampledFrom([]string{"u", "v", "w"}).Draw(t, "unique")}
	m := message{
		tenant:  rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "tenant"),
		key:     key.String(),
		request: rapid.SampledFrom([]string{"POST /a", "POST /a", "POST /b"}).Draw(t, "request"),
	}
	h.sent = append(h.sent, m)
	h.inTransit = append(h.inTransit, m)
}

func (h *harness) duplicate(t *rapid.T) {
	m, _ := pick(t, "message", h.sent)
	h.inTransit = append(h.inTransit, m)
}

// forward sends a message through another node, which may refuse it, or fail to reach the owner.
func (h *harness) forward(t *rapid.T) {
	m, i := pick(t, "message", h.inTransit)
	switch rapid.SampledFrom([]string{"refused", "not sent", "reply lost", "request lost"}).Draw(t, "forward") {
	case "refused":
		h.inTransit = remove(h.inTransit, i)
		h.reportOutcome(m, RefusalOutcome(true))
	case "not sent":
		h.inTransit = remove(h.inTransit, i)
		h.reportOutcome(m, ForwardOutcome(true, false))
	case "request lost":
		h.inTransit = remove(h.inTransit, i)
		h.reportOutcome(m, ForwardOutcome(true, true))
	case "reply lost":
		h.reportOutcome(m, ForwardOutcome(true, true)) // the message is still delivered
	}
}

// deliver hands a message to any incarnation, whose goroutine may have read the clock much earlier.
func (h *harness) deliver(t *rapid.T) {
	m, i := pick(t, "message", h.inTransit)
	owner, _ := pick(t, "owner", h.owners)
	h.inTransit = remove(h.inTransit, i)
	key, err := Parse(m.key)
	if err != nil {
		t.Fatal(err)
	}
	if LocateOwner(key, "h", owner.incarnation) != OwnerLocal {
		h.reportOutcome(m, fleet.Unknown)
		return
	}
	epoch := rapid.Int64Range(max(0, Epoch(owner.started, h.now)-3), Epoch(owner.started, h.now)).Draw(t, "epoch read")
	tenantKey := TenantKey{Tenant: m.tenant, Key: m.key}
	d := Claim(&owner.keys, tenantKey, key, m.request, epoch, h.limits)
	switch d.Verdict {
	case Run:
		owner.claimed = append(owner.claimed, attempt{message: m, tenantKey: tenantKey})
	case Wait:
		h.inTransit = append(h.inTransit, m)
	case Replay:
		if string(d.Response.Body) != m.tenant {
			t.Fatalf("tenant %s got the response of tenant %s", m.tenant, d.Response.Body)
		}
	case ReportUnknown:
		h.reportOutcome(m, fleet.Unknown)
	case Refuse:
		h.reportOutcome(m, fleet.NotRun)
	}
}

func (h *harness) dispatch(t *rapid.T) {
	owner, _ := pick(t, "owner", h.owners)
	a, i := pick(t, "claimed", owner.claimed)
	owner.claimed = remove(owner.claimed, i)
	if rapid.Bool().Draw(t, "refused by the queue") {
		Finish(&owner.keys, a.tenantKey, fleet.NotRun, nil, h.limits)
		h.reportOutcome(a.message, fleet.NotRun)
		return
	}
	h.runCounts[a.tenantKey]++
	h.executed[a.message] = true
	owner.running = append(owner.running, a)
}

func (h *harness) finish(t *rapid.T) {
	owner, _ := pick(t, "owner", h.owners)
	a, i := pick(t, "running", owner.running)
	owner.running = remove(owner.running, i)
	outcome := rapid.SampledFrom([]fleet.Outcome{fleet.Answered, fleet.Unknown}).Draw(t, "outcome")
	response := &Response{Body: []byte(a.tenant), Header: map[string][]string{"x": {"12345678"[:rapid.IntRange(0, 8).Draw(t, "size")]}}}
	Finish(&owner.keys, a.tenantKey, outcome, response, h.limits)
	h.reportOutcome(a.message, outcome)
}

func (h *harness) advance(t *rapid.T) {
	h.now = h.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "minutes")) * time.Minute)
	owner, _ := pick(t, "expiring owner", h.owners)
	Expire(&owner.keys, Epoch(owner.started, h.now))
}

// restart adds an incarnation. Earlier ones remain as paused processes that may resume.
func (h *harness) restart(t *rapid.T) {
	if t != nil && rapid.IntRange(0, 3).Draw(t, "restart") > 0 {
		t.Skip("restarts are rarer than messages")
	}
	if t != nil && rapid.Bool().Draw(t, "killed") {
		h.owners = h.owners[:len(h.owners)-1]
	}
	h.now = h.now.Add(time.Second)
	h.owners = append(h.owners, &ownerNode{
		incarnation: h.now.Format("150405"), started: h.now, keys: Keys{Entries: map[TenantKey]Entry{}},
	})
}

func (h *harness) reportOutcome(m message, o fleet.Outcome) {
	if o == fleet.NotRun {
		h.reportedNotRun[m] = true
	}
}

func (h *harness) check(t *rapid.T) {
	for tenantKey, n := range h.runCounts {
		if n > 1 {
			t.Fatalf("key %v ran %d times", tenantKey, n)
		}
	}
	for m := range h.reportedNotRun {
		if h.executed[m] {
			t.Fatalf("message %v was reported as not run, but it ran", m)
		}
	}
	for _, owner := range h.owners {
		if owner.keys.KeptBytes > h.limits.MaxKeptBytes || owner.keys.KeptBytes < 0 || len(owner.keys.Entries) > h.limits.MaxEntries {
			t.Fatalf("memory limits exceeded: %d bytes, %d entries", owner.keys.KeptBytes, len(owner.keys.Entries))
		}
	}
}

// Guards against a key that runs more than once, and against a request that runs although it was reported as not run
// (requirements H3 and H4), under any interleaving of duplicates, forwards, restarts, pauses and lost replies.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		t.Repeat(map[string]func(*rapid.T){
			"send":      h.send,
			"duplicate": h.duplicate,
			"forward":   h.forward,
			"arrive":    h.deliver,
			"dispatch":  h.dispatch,
			"finish":    h.finish,
			"advance":   h.advance,
			"restart":   h.restart,
			"":          h.check,
		})
	})
}
