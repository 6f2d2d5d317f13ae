package rosterquery

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/internal/decide/roster"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newQueries returns the queries of a node that has just been in contact with n hosts.
func newQueries(n int) *Queries {
	q := &Queries{Tables: table.New(fleet.Host{ID: "self"}, "")}
	for k := range n {
		q.update(fmt.Sprint("host-", k), func(s *roster.State) { s.LastContact = start })
	}
	return q
}

func (q *Queries) update(id string, change func(*roster.State)) {
	q.Tables.Roster.Write(guard.Held{}, func(_ guard.Held, r *table.Roster) {
		s, known := r.Hosts[id]
		if !known {
			s = &roster.State{Host: fleet.Host{ID: id, PeerAddress: "10.0.0.1:81"}, Ready: true}
			r.Hosts[id] = s
		}
		change(s)
	})
}

// Guards against nodes that keep an outdated list of hosts, because its digest did not change.
func TestContactsDigest(t *testing.T) {
	t.Run("lists of the same hosts have the same digest", func(t *testing.T) {
		is.New(t).Equal(newQueries(50).ContactsDigest(start), newQueries(50).ContactsDigest(start))
	})
	for name, change := range map[string]func(*roster.State){
		"silent":      func(s *roster.State) { s.LastContact = start.Add(-time.Minute) },
		"not ready":   func(s *roster.State) { s.Ready = false },
		"leaving":     func(s *roster.State) { s.Host.Leaving = true },
		"new address": func(s *roster.State) { s.Host.PeerAddress = "10.0.0.2:81" },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := newQueries(50)
			before := q.ContactsDigest(start)
			q.update("host-7", change)
			one := q.ContactsDigest(start)
			is.True(one != before)
			q.update("host-8", change)
			is.True(q.ContactsDigest(start) != one && q.ContactsDigest(start) != before)
		})
	}
}

// BenchmarkContactsDigest measures the digest that a registrar computes for each message of a host.
func BenchmarkContactsDigest(b *testing.B) {
	for _, hosts := range []int{44, 442, 840} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			q := newQueries(hosts)
			for b.Loop() {
				q.ContactsDigest(start)
			}
		})
	}
}
