package once

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
)

var limits = Limits{MaxEntries: 3, MaxResponseBytes: 10, MaxKeptBytes: 15}

func newKeys() *Keys { return &Keys{Entries: map[TenantKey]Entry{}} }

func assertClaim(t *testing.T, k *Keys, text string, epoch int64, want Verdict) Decision {
	t.Helper()
	is := is.New(t)
	key, err := Parse(text)
	is.NoErr(err)
	d := Claim(k, TenantKey{Tenant: "t", Key: text}, key, "POST /a", epoch, limits)
	is.Equal(d.Verdict, want)
	return d
}

func finish(k *Keys, text string, o fleet.Outcome, body string) {
	Finish(k, TenantKey{Tenant: "t", Key: text}, o, &Response{Status: 201, Body: []byte(body)}, limits)
}

func TestClaim(t *testing.T) {
	t.Run("a duplicate waits and then gets the stored response", func(t *testing.T) {
		k := newKeys()
		assertClaim(t, k, "h.i.0.a", 0, Run)
		assertClaim(t, k, "h.i.0.a", 0, Wait)
		finish(k, "h.i.0.a", fleet.Answered, "body")
		is.New(t).Equal(string(assertClaim(t, k, "h.i.0.a", 1, Replay).Response.Body), "body")
	})
	t.Run("a response that exceeds the size limit is not replayed", func(t *testing.T) {
		k := newKeys()
		assertClaim(t, k, "h.i.0.a", 0, Run)
		finish(k, "h.i.0.a", fleet.Answered, "longer than ten")
		assertClaim(t, k, "h.i.0.a", 0, NotReplayable)
	})
	t.Run("the oldest response is dropped and its key cannot run again", func(t *testing.T) {
		k := newKeys()
		assertClaim(t, k, "h.i.0.a", 0, Run)
		assertClaim(t, k, "h.i.0.b", 0, Run)
		finish(k, "h.i.0.a", fleet.Answered, "12345678")
		finish(k, "h.i.0.b", fleet.Answered, "12345678")
		assertClaim(t, k, "h.i.0.a", 0, NotReplayable)
		assertClaim(t, k, "h.i.0.b", 0, Replay)
	})
	t.Run("a request without a known outcome stays unknown", func(t *testing.T) {
		k := newKeys()
		assertClaim(t, k, "h.i.0.a", 0, Run)
		finish(k, "h.i.0.a", fleet.Unknown, "")
		assertClaim(t, k, "h.i.0.a", 0, ReportUnknown)
	})
	t.Run("a key whose request was reported as not run cannot be used again", func(t *testing.T) {
		k := newKeys()
		assertClaim(t, k, "h.i.0.a", 0, Run)
		finish(k, "h.i.0.a", fleet.NotRun, "")
		assertClaim(t, k, "h.i.0.a", 0, Refuse)
	})
	t.Run("a key of a future epoch is refused, also once that epoch has begun", func(t *testing.T) {
		k := newKeys()
		assertClaim(t, k, "h.i.2.a", 0, Refuse)
		assertClaim(t, k, "h.i.2.a", 2, Refuse)
		assertClaim(t, k, "h.i.9.a", 0, ReportUnknown)
	})
	t.Run("a key of the previous epoch runs and the outcome of an older one is unknown", func(t *testing.T) {
		k := newKeys()
		assertClaim(t, k, "h.i.4.a", 5, Run)
		assertClaim(t, k, "h.i.3.a", 5, ReportUnknown)
	})
	t.Run("an expired key does not run for a goroutine that read the clock earlier", func(t *testing.T) {
		k := newKeys()
		assertClaim(t, k, "h.i.0.a", 0, Run)
		finish(k, "h.i.0.a", fleet.Answered, "x")
		Expire(k, 2)
		is.New(t).Equal(k.KeptBytes, 0)
		assertClaim(t, k, "h.i.0.a", 1, ReportUnknown)
	})
	t.Run("a full table runs no request that it cannot record", func(t *testing.T) {
		k := newKeys()
		for _, text := range []string{"h.i.0.a", "h.i.0.b", "h.i.0.c"} {
			assertClaim(t, k, text, 0, Run)
		}
		assertClaim(t, k, "h.i.0.d", 0, ReportUnknown)
	})
	t.Run("a key that is used again for a different request is refused", func(t *testing.T) {
		k := newKeys()
		assertClaim(t, k, "h.i.0.a", 0, Run)
		d := Claim(k, TenantKey{Tenant: "t", Key: "h.i.0.a"}, Key{}, "POST /b", 0, limits)
		is.New(t).Equal(d.Verdict, Refuse)
	})
	t.Run("tenants do not share keys", func(t *testing.T) {
		k := newKeys()
		assertClaim(t, k, "h.i.0.a", 0, Run)
		d := Claim(k, TenantKey{Tenant: "other", Key: "h.i.0.a"}, Key{}, "POST /a", 0, limits)
		is.New(t).Equal(d.Verdict, Run)
	})
}

func TestLocateOwner(t *testing.T) {
	is := is.New(t)
	k := Key{Host: "h", Incarnation: "i"}
	is.Equal(LocateOwner(k, "h", "i"), OwnerLocal)
	is.Equal(LocateOwner(k, "h", "j"), OwnerGone) // a restarted node has lost the keys of its previous incarnation
	is.Equal(LocateOwner(k, "g", "i"), OwnerRemote)
	is.Equal(ForwardOutcome(false, false), fleet.NotRun)
	is.Equal(ForwardOutcome(false, true), fleet.Unknown)
	is.Equal(ForwardOutcome(true, false), fleet.Unknown) // an earlier request with the key may have run
}

func TestEpoch(t *testing.T) {
	is := is.New(t)
	started := time.Unix(1000, 0)
	is.Equal(Epoch(started, started.Add(EpochDuration-1)), int64(0))
	is.Equal(Epoch(started, started.Add(2*EpochDuration)), int64(2))
	is.Equal(Epoch(started, started.Add(-time.Hour)), int64(0))
}

func TestParse(t *testing.T) {
	for _, bad := range []string{
		"", "a.b.1", "..1.u", "h.i.01.u", "h.i.+1.u", "h.i.-1.u", "h.i..u", "h.i.1.", "h.i.1.a b", "h.i.1.\x7f", "h i.i.1.u",
		"h.i.9999999999999999999.u", "h.i.1." + strings.Repeat("u", 129), strings.Repeat("h", 64) + ".i.1.u",
	} {
		t.Run("rejects "+bad, func(t *testing.T) {
			_, err := Parse(bad)
			is.New(t).True(errors.As(err, &FormatError{}))
		})
	}
	t.Run("the unique part may contain dots", func(t *testing.T) {
		is := is.New(t)
		k, err := Parse("h-1.0a.12.x.y")
		is.NoErr(err)
		is.Equal(k, Key{Host: "h-1", Incarnation: "0a", Epoch: 12, Unique: "x.y"})
	})
}

// Guards against two valid spellings of one key, whose requests would run twice.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"h.i.0.u", "h.i.01.u", "a.b.12.x.y", "...", "h.i.-0.u"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		k, err := Parse(s)
		if err == nil && k.String() != s {
			t.Fatalf("Parse(%q) returned the key %q, which is spelled differently", s, k)
		}
	})
}
