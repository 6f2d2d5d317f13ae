package dispatchcmd

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// fakeConns keeps one connection to each server open for 5 s, and counts the connections that were opened.
type fakeConns struct {
	mu     sync.Mutex
	idle   map[string]time.Time
	opened int
	sent   map[string]int
}

func (c *fakeConns) HasWarm(address string, idempotent bool, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isWarm(address, idempotent, now)
}

func (c *fakeConns) isWarm(address string, idempotent bool, now time.Time) bool {
	since, known := c.idle[address]
	return known && (now.Sub(since) <= 300*time.Millisecond || idempotent && now.Sub(since) <= 5*time.Second)
}

func (c *fakeConns) take(address string, idempotent bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isWarm(address, idempotent, now) {
		c.opened++
	}
	delete(c.idle, address)
	c.sent[address]++
}

func (c *fakeConns) put(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[address] = time.Now()
}

func (c *fakeConns) forgetSent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.sent)
}

// placedRunner is a request over such connections. The servers whose number ends in 3 are five times as slow as the others.
type placedRunner struct {
	fakeRunner
	conns      *fakeConns
	idempotent bool
}

func (r *placedRunner) Send(ctx context.Context, s fleet.BackendServer) table.Result {
	started := time.Now()
	r.conns.take(s.Address, r.idempotent, started)
	duration := 160 * time.Millisecond
	if s.Address[len(s.Address)-1] == '3' {
		duration *= 5
	}
	r.Durations = map[string]time.Duration{s.Address: duration}
	result := r.fakeRunner.Send(ctx, s)
	r.conns.put(s.Address)
	result.Latency = time.Since(started)
	return result
}

type placingOutcome struct{ late, opened, joinedUnused int }

// playPlacing plays 80 requests a second, a third of them idempotent, for ten seconds over 40 servers. Five more servers join
// after three seconds.
func playPlacing(t *testing.T, placed bool) (o placingOutcome) {
	t.Helper()
	const servers, joining, rate, seconds = 40, 5, 80, 10
	runInBubble(t, 400, servers, func(_ *is.I, f *fixture) {
		conns := &fakeConns{idle: map[string]time.Time{}, sent: map[string]int{}}
		if placed {
			f.Conns = conns
		}
		done := make(chan bool)
		for k := range rate * seconds {
			if k == 3*rate {
				f.join(servers, joining)
			}
			one := f.ticket("a", 5*time.Second, nil)
			one.Idempotent = k%3 == 0
			one.Runner = &placedRunner{conns: conns, idempotent: one.Idempotent}
			go func() {
				f.roundTrip(one)
				done <- time.Since(one.Arrived) > 500*time.Millisecond
			}()
			time.Sleep(time.Second / rate)
		}
		for range rate * seconds {
			if <-done {
				o.late++
			}
		}
		o.opened = conns.opened
		for n := range joining {
			if conns.sent[fmt.Sprint("s", servers+n)] == 0 {
				o.joinedUnused++
			}
		}
	})
	return o
}

// join adds servers to the service.
func (f *fixture) join(first, count int) {
	f.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		for n := range count {
			s := fleet.BackendServer{Address: fmt.Sprint("s", first+n), Slots: 2}
			b.Services[service][s.Address] = &table.Backend{Server: s, FirstSeen: time.Now(), InFlight: map[string]table.InFlight{}}
		}
	})
}

// The load: calm traffic to servers of which a tenth is five times as slow as the others. Guards against late responses from
// slow servers while fast ones are idle, against a new connection for most requests, and against servers that join and get
// no request.
func TestPlacing(t *testing.T) {
	is := is.New(t)
	before, after := playPlacing(t, false), playPlacing(t, true)
	t.Logf("by outstanding requests: %+v; by speed and connections: %+v", before, after)
	is.True(after.late <= before.late/2)
	is.True(after.opened <= before.opened/3)
	is.Equal(after.joinedUnused, 0)
}

// Guards against backup attempts that all go to the server with the lowest address.
func TestBackupPlacing(t *testing.T) {
	runInBubble(t, 32, 8, func(is *is.I, f *fixture) {
		chosen := map[string]int{}
		for k := range 100 {
			a := table.Assignment{Ticket: &table.Ticket{ID: fmt.Sprint(k), Service: service}, Server: fleet.BackendServer{Address: "s0"}}
			f.roundTrip(f.ticket("a", time.Minute, &fakeRunner{})) // sets the limits
			f.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
				chosen[f.chooseBackup(a, b, time.Now()).Server.Address]++
			})
		}
		is.Equal(len(chosen), 7)
		is.Equal(chosen["s0"], 0)
	})
}

// usedWithin plays 20 requests a second at one of three nodes for six seconds, and adds the servers that it used in the last
// two to the set.
func usedWithin(t *testing.T, node int, idempotent bool, used map[string]bool) {
	t.Helper()
	const rate, seconds = 20, 6
	runInBubble(t, 100, 40, func(_ *is.I, f *fixture) {
		conns := &fakeConns{idle: map[string]time.Time{}, sent: map[string]int{}}
		f.Conns = conns
		f.SetSharing(Sharing{NodeIndex: node, Nodes: 3, VisitorIndex: node, Visitors: 3})
		done := make(chan table.Result)
		for k := range rate * seconds {
			if k == rate*(seconds-2) {
				conns.forgetSent()
			}
			one := f.ticket("a", 5*time.Second, nil)
			one.Idempotent, one.Runner = idempotent, &placedRunner{conns: conns, idempotent: idempotent}
			go func() { done <- f.roundTrip(one) }()
			time.Sleep(time.Second / rate)
		}
		for range rate * seconds {
			<-done
		}
		for address := range conns.sent {
			used[address] = true
		}
	})
}

// The load: calm traffic that ten servers could serve. Guards against servers that no node uses for two seconds because others
// have warm connections: if requests are lost then, too few servers were in use, and failures are not found.
func TestVisits(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent requests": true, "requests that must not run twice": false} {
		t.Run(name, func(t *testing.T) {
			used := map[string]bool{}
			for node := range 3 {
				usedWithin(t, node, idempotent, used)
			}
			t.Logf("%d of 40 servers used in two seconds", len(used))
			is.New(t).True(len(used) >= 28) // the floor of 0.7
		})
	}
}

// Guards against a service without idempotent requests that uses its warm servers only, also at a low rate.
func TestFirstUse(t *testing.T) {
	runInBubble(t, 8, 3, func(is *is.I, f *fixture) {
		conns := &fakeConns{idle: map[string]time.Time{}, sent: map[string]int{}}
		f.Conns = conns
		for range 60 {
			one := f.ticket("a", 5*time.Second, nil)
			one.Idempotent = false
			one.Runner = &placedRunner{conns: conns}
			f.roundTrip(one)
		}
		is.Equal(len(conns.sent), 3)
	})
}

// Guards against a search of a server that describes full servers as well: in a surge it runs for each waiting request, and
// nearly all servers are full. The server of the last attempt stays excluded while the others are full.
func TestChooseBesideFullServers(t *testing.T) {
	runInBubble(t, 8, 20, func(is *is.I, f *fixture) {
		asked := &countingConns{}
		f.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
			servers := b.Services[service]
			updateLimits(servers, 1, 0, admission.Borrowing{}, time.Now())
			for address, s := range servers {
				if address != "s0" {
					s.Outstanding = 2
				}
			}
			p := newServicePool(servers, &admission.Queue[*table.Ticket]{}, b.Health[service], time.Now())
			p.Placing.Conns = asked
			one := f.ticket("a", time.Second, nil)
			is.Equal(chooseServer(p, one, "", time.Now()).Server.Address, "s0")
			is.True(asked.count <= 2) // of s0 alone
			one.TriedAddresses = []string{"s0"}
			is.Equal(chooseServer(p, one, "", time.Now()), nil)
			for _, s := range servers {
				s.Outstanding = 0
			}
		})
		f.roundTrip(f.ticket("a", time.Minute, &fakeRunner{})) // assertSettled expects a queue
	})
}

// countingConns counts the questions for warm connections.
type countingConns struct{ count int }

func (c *countingConns) HasWarm(string, bool, time.Time) bool {
	c.count++
	return false
}
