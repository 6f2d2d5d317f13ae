package dispatchquery

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/healthcmd"
	"egretline.example/egretline/pkg/table"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newQueries() *Queries {
	t := table.New(fleet.Host{ID: "self"}, "1")
	c := &fleet.Configuration{
		Ranks:  []fleet.Rank{{Name: "bookings", Share: 0.5}, {Name: "archives", Share: 0.2, SlotLimit: 0.4}},
		Routes: []fleet.Route{{Name: "surveys", Service: "survey-vault", Rank: "archives", Idempotent: true}},
		Services: map[string]fleet.Service{"survey-vault": {Floor: 1, BackendServers: []fleet.BackendServer{
			{Address: "a:1", Slots: 6}, {Address: "b:1", Slots: 6}, {Address: "c:1", Slots: 6},
		}}},
	}
	t.Config.Write(guard.Held{}, func(_ guard.Held, v *table.Config) { v.Compiled = c })
	(&healthcmd.Commands{Tables: t}).Sync(now, c)
	return &Queries{Tables: t}
}

func assertSentence(t *testing.T, sentences []string, want string) {
	t.Helper()
	if text := strings.Join(sentences, " "); !strings.Contains(text, want) {
		t.Fatalf("%q is missing in %q", want, text)
	}
}

func assertServer(t *testing.T, e ServerExplanation, eligible bool, want string) {
	t.Helper()
	is.New(t).Equal(e.Eligible, eligible)
	assertSentence(t, []string{e.Sentence}, want)
}

func TestExplain(t *testing.T) {
	t.Run("the explanation covers the rank, the queue and the servers", func(t *testing.T) {
		q := newQueries()
		q.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
			servers := b.Services["survey-vault"]
			servers["b:1"].Limit, servers["b:1"].Outstanding = admission.NewLimit(2, 1), 2
			servers["c:1"].Leaving, servers["c:1"].LeavingReason = true, table.LeavingAnnounced
		})
		e, err := q.Explain(now, "surveys")
		is.New(t).NoErr(err)
		assertSentence(t, e.Sentences, "in rank archives, which is number 2 of 2 in urgency.")
		assertSentence(t, e.Sentences, "at least 20 percent")
		assertSentence(t, e.Sentences, "at most 40 percent")
		assertSentence(t, e.Sentences, "10 retries left")
		assertServer(t, e.Servers[0], true, "This server is in use.")
		assertServer(t, e.Servers[1], false, "all 2 requests that this node may send")
		assertServer(t, e.Servers[2], false, "leaving")
	})
	t.Run("an unknown route is an error", func(t *testing.T) {
		_, err := newQueries().Explain(now, "none")
		is.New(t).True(errors.As(err, &RouteError{}))
	})
}
