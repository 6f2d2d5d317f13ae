package rostercmd

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/decide/roster"
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
