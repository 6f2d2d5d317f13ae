package rostercmd

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/decide/roster"
	"egretline.example/egretline/internal/roster/rosterquery"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// announcements returns n ready hosts in five zones. Every thirtieth host has a high capacity.
func announcements(n int) []Announcement {
	list := make([]Announcement, n)
	for k := range list {
		weight := roster.Capacity(0.16, 20)
		if k%30 == 0 {
			weight = roster.Capacity(0.8, 200)
		}
		list[k] = Announcement{Ready: true, Host: fleet.Host{
			ID: fmt.Sprint("host-", k), AvailabilityZone: fmt.Sprint("z", k%5), Weight: weight,
			CallerAddress: fmt.Sprintf("10.0.0.%d:80", k%250), PeerAddress: fmt.Sprintf("10.0.0.%d:81", k%250),
		}}
	}
	return list
}

// newCommands returns the commands of a node that has just been in contact with the hosts.
func newCommands(list []Announcement) *Commands {
	c := New(table.New(fleet.Host{ID: "self", AvailabilityZone: "z0", Weight: roster.Capacity(0.16, 20)}, ""), zerolog.Nop())
	c.SetReady(true)
	for _, a := range list {
		c.RecordContact(start, a)
	}
	return c
}

// assertSelected checks that the entry hosts after a selection are those that a node without an earlier one selects.
func assertSelected(t *testing.T, c *Commands, load float64, now time.Time) {
	t.Helper()
	c.SelectEntryHosts(now, load)
	c.Tables.Roster.Write(guard.Held{}, func(_ guard.Held, r *table.Roster) {
		got := hostIDs(r.EntryHosts)
		is.New(t).Equal(got, hostIDs(roster.EntryHosts(slices.Collect(liveHosts(r, now)), load)))
	})
}

// Guards against entry hosts that stay selected although the hosts or the load changed.
func TestSelectEntryHosts(t *testing.T) {
	const load = 300
	for name, change := range map[string]func(*Commands, []Announcement) (float64, time.Time){
		"no change":        func(*Commands, []Announcement) (float64, time.Time) { return load, start },
		"a higher load":    func(*Commands, []Announcement) (float64, time.Time) { return 10 * load, start },
		"all hosts silent": func(*Commands, []Announcement) (float64, time.Time) { return load, start.Add(time.Minute) },
		"an entry host leaves": func(c *Commands, list []Announcement) (float64, time.Time) {
			list[0].Host.Leaving = true
			c.RecordContact(start, list[0])
			return load, start
		},
		"an entry host is not ready": func(c *Commands, list []Announcement) (float64, time.Time) {
			list[0].Ready = false
			c.RecordContact(start, list[0])
			return load, start
		},
		"an entry host returns with another address": func(c *Commands, list []Announcement) (float64, time.Time) {
			list[0].Host.CallerAddress = "10.9.9.9:80"
			c.RecordContact(start, list[0])
			return load, start
		},
		"one host is replaced by another": func(c *Commands, list []Announcement) (float64, time.Time) {
			c.RecordFailure(start, list[0].Host.ID)
			list[0].Host.ID = "other"
			c.RecordContact(start, list[0])
			return load, start
		},
		"the node itself leaves": func(c *Commands, _ []Announcement) (float64, time.Time) {
			c.SetLeaving()
			return load, start
		},
	} {
		t.Run(name, func(t *testing.T) {
			list := announcements(60)
			c := newCommands(list)
			assertSelected(t, c, load, start)
			newLoad, now := change(c, list)
			assertSelected(t, c, newLoad, now)
		})
	}
}

// Guards against a node that is cut off and sends callers to hosts which no other node counts as entry hosts: as its contacts
// grow old, it selected one host after the other, and itself in the end. It also guards against a node that keeps hosts which
// have failed, and against the last node that is left, which has to select itself.
func TestEntryHostsOfNodeThatIsCutOff(t *testing.T) {
	const load = 3000
	noAnswer := func(c *Commands, now time.Time, id string) { c.RecordNoAnswer(now, id) }
	refused := func(c *Commands, now time.Time, id string) { c.RecordFailure(now, id) }
	answered := func(c *Commands, now time.Time, id string) {
		for _, a := range announcements(60) {
			if a.Host.ID == id {
				c.RecordContact(now, a)
			}
		}
	}
	silent := func(*Commands, time.Time, string) {}
	for name, p := range map[string]struct {
		others         func(c *Commands, now time.Time, id string)
		logUnreachable bool
		after          time.Duration
		keeps, cutOff  bool
	}{
		"neither the registrars nor the log answer": {noAnswer, true, 10 * time.Second, true, true},
		"the log answers":                                {noAnswer, false, 4 * time.Second, false, false},
		"the log may not answer":                         {noAnswer, false, 2 * time.Second, true, false},
		"nothing has answered for long":                  {noAnswer, true, time.Minute, false, false},
		"the other registrars answer":                    {answered, true, time.Second, false, false},
		"the machines of the other registrars answer":    {refused, true, time.Second, false, false},
		"the other registrars have not been contacted":   {silent, true, 300 * time.Millisecond, true, false},
		"the other registrars are not contacted in time": {silent, true, 1500 * time.Millisecond, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCommands(announcements(60))
			c.SelectEntryHosts(start, load)
			before := selectedHosts(c)
			c.SetLogReachable(!p.logUnreachable)
			check := c.RecordNoAnswer(start.Add(time.Millisecond), before[0])
			is.Equal(len(check), roster.MaxRegistrars-1)
			for _, h := range check {
				p.others(c, start.Add(2*time.Millisecond), h.ID)
			}
			c.SelectEntryHosts(start.Add(p.after), load)
			is.Equal(slices.Equal(selectedHosts(c), before), p.keeps)
			is.Equal((&rosterquery.Queries{Tables: c.Tables}).Isolated(), p.cutOff)
		})
	}
}

func selectedHosts(c *Commands) (ids []string) {
	c.Tables.Roster.Read(guard.Held{}, func(_ guard.Held, r *table.Roster) { ids = hostIDs(r.EntryHosts) })
	return ids
}

// BenchmarkSelectEntryHosts measures a selection without a change, which each node makes five times a second.
func BenchmarkSelectEntryHosts(b *testing.B) {
	for _, hosts := range []int{44, 442, 840} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			c := newCommands(announcements(hosts))
			for b.Loop() {
				c.SelectEntryHosts(start, 4320)
			}
		})
	}
}
