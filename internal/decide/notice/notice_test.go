package notice

import (
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func assertParsed(t *testing.T, value string, want time.Duration, valid bool) {
	t.Helper()
	is := is.New(t)
	got, err := ParseRetryAfter(value)
	is.Equal(got, want)
	is.Equal(err == nil, valid)
	is.Equal(err != nil, errors.As(err, &RetryAfterError{}))
}

// Guards against a faulty header that takes a server out of use for good, or that is read as no pause.
func TestParseRetryAfter(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": 0, "0": 0, "2": 2 * time.Second, "1.25\t": 1250 * time.Millisecond, "+1": time.Second, "300": MaxPause,
	} {
		t.Run("seconds "+value, func(t *testing.T) { assertParsed(t, value, want, true) })
	}
	for value, want := range map[string]time.Duration{
		"-1": 0, "soon": 0, "NaN": 0, "Inf": MaxPause, "-Inf": 0, "1e3": MaxPause, "1e1": 0, "0x1p4": 0, "301": MaxPause, "1e999": MaxPause,
		"99999999999999999999": MaxPause, "Wed, 21 Oct 2026 07:28:00 GMT": 0, "1,2": 0, "1_0": 0, "\x00": 0,
	} {
		t.Run("invalid "+value, func(t *testing.T) { assertParsed(t, value, want, false) })
	}
}

func FuzzParseRetryAfter(f *testing.F) {
	f.Add("1.5")
	f.Fuzz(func(t *testing.T, value string) {
		if d, err := ParseRetryAfter(value); d < 0 || d > MaxPause || err != nil && len(err.Error()) > 300 {
			t.Errorf("%q gives a pause of %s and the error %v", value, d, err)
		}
	})
}

func assertPermits(t *testing.T, table *Table, r Run, after time.Duration, want bool) {
	t.Helper()
	is.New(t).Equal(table.Get(r).Permits(start.Add(after)), want)
}

func TestTable(t *testing.T) {
	run := Run{Address: "10.0.0.1:80", Instance: "i-1", StartedAtMs: 5}
	later := run
	later.StartedAtMs = 6
	t.Run("a leaving run gets no more requests, a later one does", func(t *testing.T) {
		var table Table
		table.Record(run, true, 0, start)
		table.Record(run, false, time.Second, start)
		assertPermits(t, &table, run, time.Hour, false)
		assertPermits(t, &table, later, 0, true)
	})
	t.Run("a pause ends, and a shorter one does not end it earlier", func(t *testing.T) {
		var table Table
		table.Record(run, false, 2*time.Second, start)
		table.Record(run, false, time.Second, start)
		assertPermits(t, &table, run, 2*time.Second-1, false)
		assertPermits(t, &table, run, 2*time.Second, true)
		is := is.New(t)
		is.True(table.AnyPaused(start))
		is.True(!table.AnyPaused(start.Add(2 * time.Second)))
	})
	t.Run("a pause is bounded", func(t *testing.T) {
		var table Table
		table.Record(run, false, 1<<62, start)
		assertPermits(t, &table, run, MaxPause, true)
	})
	t.Run("the oldest notice is dropped when there are too many", func(t *testing.T) {
		var table Table
		for i := range maxNotices + 10 {
			table.Record(Run{Instance: strconv.Itoa(i)}, true, 0, start.Add(time.Duration(i)*time.Millisecond))
		}
		is := is.New(t)
		is.Equal(len(table.runs), maxNotices)
		assertPermits(t, &table, Run{Instance: "9"}, 0, true)
		assertPermits(t, &table, Run{Instance: "10"}, 0, false)
	})
}

// The load: every server of a service turns requests away with Retry-After.
func TestPool(t *testing.T) {
	const target = 2 * time.Second
	pool := func(pauses ...time.Duration) (p Pool) {
		for _, d := range pauses {
			p.Add(start.Add(d), start)
		}
		return p
	}
	for _, c := range []struct {
		name    string
		pool    Pool
		refused bool
		least   time.Duration
	}{
		{"no server", pool(), false, 0},
		{"a usable server", pool(5*time.Second, 0), false, 0},
		{"all paused", pool(5*time.Second, 4*time.Second), true, 4 * time.Second},
		{"a pause that is shorter than a wait costs the caller", pool(5*time.Second, target/8), false, 0},
		{"a pause that is longer than that", pool(target/8 + 1), true, target / 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			wait, refused := c.pool.Refusal("r1", target, start)
			is.Equal(refused, c.refused)
			is.True(wait >= c.least)
		})
	}
	t.Run("callers return at different times after the pause", func(t *testing.T) {
		is := is.New(t)
		quarters := map[int]int{}
		for i := range 400 {
			wait, _ := pool(4*time.Second).Refusal("r"+strconv.Itoa(i), target, start)
			is.True(wait >= 4*time.Second && wait <= 5*time.Second)
			quarters[int((wait-4*time.Second)/(250*time.Millisecond))]++
		}
		for _, n := range quarters {
			is.True(n > 60 && n < 140) // of 400
		}
	})
}
