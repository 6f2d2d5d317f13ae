package once

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"egretline.example/egretline/pkg/fleet"
)

// Runs that expire a key and then repeat it are long and rare: with rapid's defaults of 100 runs of 30 steps, a key table
// that forgets keys one epoch too early passed.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.checks", "1500")
	_ = flag.Set("rapid.steps", "60")
	os.Exit(m.Run())
}

// home is one incarnation of the host "h". An old one can live on: it was paused while its successor started.
type home struct {
	incarnation string
	started     time.Time
	keys        Keys
	claimed     []attempt
	running     []attempt
}

type message struct {
	tenant, key, request string
}

// attempt is a claimed message, with what the world knows about its run.
type attempt struct {
	message
	id ID
}

type world struct {
	now      time.Time
	homes    []*home
	sent     []message
	arriving []message
	runs     map[ID]int
	ran      map[message]bool
	toldNot  map[message]bool
	limits   Limits
}

func newWorld() *world {
	w := &world{
		now: time.Unix(1000, 0), runs: map[ID]int{}, ran: map[message]bool{}, toldNot: map[message]bool{},
		limits: Limits{Entries: 4, ResponseBytes: 8, KeptBytes: 14},
	}
	w.restart(nil)
	return w
}

func pick[T any](t *rapid.T, name string, from []T) (T, int) {
	if len(from) == 0 {
		t.Skip("nothing to choose for " + name)
	}
	i := rapid.IntRange(0, len(from)-1).Draw(t, name)
	return from[i], i
}

func remove[T any](from []T, i int) []T {
	return append(from[:i:i], from[i+1:]...)
}

// send makes a new key with the prefix of any incarnation, of a past, the current or a later epoch.
func (w *world) send(t *rapid.T) {
	h, _ := pick(t, "home", w.homes)
	epoch := max(0, Epoch(h.started, w.now)+rapid.SampledFrom([]int64{0, 0, 0, 0, 0, -1, -2, 1, 2, 3, 4}).Draw(t, "epoch offset"))
	key := Key{Host: "h", Incarnation: h.incarnation, Epoch: epoch, Unique: rapid.SampledFrom([]string{"u", "v", "w"}).Draw(t, "unique")}
	m := message{
		tenant:  rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "tenant"),
		key:     key.String(),
		request: rapid.SampledFrom([]string{"POST /a", "POST /a", "POST /b"}).Draw(t, "request"),
	}
	w.sent = append(w.sent, m)
	w.arriving = append(w.arriving, m)
}

func (w *world) duplicate(t *rapid.T) {
	m, _ := pick(t, "message", w.sent)
	w.arriving = append(w.arriving, m)
}

// forward passes a message through another node, which may refuse it or lose its way to the home.
func (w *world) forward(t *rapid.T) {
	m, i := pick(t, "message", w.arriving)
	switch rapid.SampledFrom([]string{"refused", "not sent", "reply lost", "request lost"}).Draw(t, "forward") {
	case "refused":
		w.arriving = remove(w.arriving, i)
		w.tell(m, RefusalOutcome(true))
	case "not sent":
		w.arriving = remove(w.arriving, i)
		w.tell(m, ForwardOutcome(true, false))
	case "request lost":
		w.arriving = remove(w.arriving, i)
		w.tell(m, ForwardOutcome(true, true))
	case "reply lost":
		w.tell(m, ForwardOutcome(true, true)) // the message still arrives
	}
}

// arrive delivers a message to any incarnation. The goroutine may have read the clock long ago.
func (w *world) arrive(t *rapid.T) {
	m, i := pick(t, "message", w.arriving)
	h, _ := pick(t, "home", w.homes)
	w.arriving = remove(w.arriving, i)
	key, err := Parse(m.key)
	if err != nil {
		t.Fatal(err)
	}
	if Locate(key, "h", h.incarnation) != Here {
		w.tell(m, fleet.Unknown)
		return
	}
	epoch := rapid.Int64Range(max(0, Epoch(h.started, w.now)-3), Epoch(h.started, w.now)).Draw(t, "epoch read")
	id := ID{Tenant: m.tenant, Key: m.key}
	d := Claim(&h.keys, id, key, m.request, epoch, w.limits)
	switch d.Verdict {
	case Run:
		h.claimed = append(h.claimed, attempt{message: m, id: id})
	case Wait:
		w.arriving = append(w.arriving, m)
	case Repeat:
		if string(d.Response.Body) != m.tenant {
			t.Fatalf("tenant %s got the response of tenant %s", m.tenant, d.Response.Body)
		}
	case TellUnknown:
		w.tell(m, fleet.Unknown)
	case Refuse:
		w.tell(m, fleet.NotRun)
	}
}

func (w *world) dispatch(t *rapid.T) {
	h, _ := pick(t, "home", w.homes)
	a, i := pick(t, "claimed", h.claimed)
	h.claimed = remove(h.claimed, i)
	if rapid.Bool().Draw(t, "refused by the queue") {
		Finish(&h.keys, a.id, fleet.NotRun, nil, w.limits)
		w.tell(a.message, fleet.NotRun)
		return
	}
	w.runs[a.id]++
	w.ran[a.message] = true
	h.running = append(h.running, a)
}

func (w *world) finish(t *rapid.T) {
	h, _ := pick(t, "home", w.homes)
	a, i := pick(t, "running", h.running)
	h.running = remove(h.running, i)
	outcome := rapid.SampledFrom([]fleet.Outcome{fleet.Answered, fleet.Unknown}).Draw(t, "outcome")
	response := &Response{Body: []byte(a.tenant), Header: map[string][]string{"x": {"12345678"[:rapid.IntRange(0, 8).Draw(t, "size")]}}}
	Finish(&h.keys, a.id, outcome, response, w.limits)
	w.tell(a.message, outcome)
}

func (w *world) advance(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "minutes")) * time.Minute)
	h, _ := pick(t, "swept home", w.homes)
	Expire(&h.keys, Epoch(h.started, w.now))
}

// restart adds an incarnation. Earlier ones go on as paused processes that may wake up.
func (w *world) restart(t *rapid.T) {
	if t != nil && rapid.IntRange(0, 3).Draw(t, "restart") > 0 {
		t.Skip("restarts are rarer than messages")
	}
	if t != nil && rapid.Bool().Draw(t, "killed") {
		w.homes = w.homes[:len(w.homes)-1]
	}
	w.now = w.now.Add(time.Second)
	w.homes = append(w.homes, &home{
		incarnation: w.now.Format("150405"), started: w.now, keys: Keys{Entries: map[ID]Entry{}},
	})
}

func (w *world) tell(m message, o fleet.Outcome) {
	if o == fleet.NotRun {
		w.toldNot[m] = true
	}
}

func (w *world) check(t *rapid.T) {
	for id, n := range w.runs {
		if n > 1 {
			t.Fatalf("key %v ran %d times", id, n)
		}
	}
	for m := range w.toldNot {
		if w.ran[m] {
			t.Fatalf("the caller was told that %v was not run, and it ran", m)
		}
	}
	for _, h := range w.homes {
		if h.keys.KeptBytes > w.limits.KeptBytes || h.keys.KeptBytes < 0 || len(h.keys.Entries) > w.limits.Entries {
			t.Fatalf("the limits of memory are exceeded: %d bytes, %d entries", h.keys.KeptBytes, len(h.keys.Entries))
		}
	}
}

// Guards H3 and H4: over any interleaving of duplicates, forwards, restarts, pauses and lost replies a key runs at most
// once, and no request that a caller was told was not run has run or runs later.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		t.Repeat(map[string]func(*rapid.T){
			"send":      w.send,
			"duplicate": w.duplicate,
			"forward":   w.forward,
			"arrive":    w.arrive,
			"dispatch":  w.dispatch,
			"finish":    w.finish,
			"advance":   w.advance,
			"restart":   w.restart,
			"":          w.check,
		})
	})
}
