package trace

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
)

var traceStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against event fields that the recorder or the reader drops.
func TestRoundTrip(t *testing.T) {
	events := []Event{
		{At: traceStart, Kind: Defined, Service: "s", AvailabilityZone: "a", Definition: Definition{
			Preference: fleet.Balanced, Floor: 1, ColdStart: time.Second, Servers: []Server{{Address: "x", AvailabilityZone: "b"}},
		}},
		{At: traceStart, Kind: Started, Service: "s", Address: "x", Request: "r"},
		{At: traceStart, Kind: Responded, Service: "s", Address: "x", Request: "r", Leaving: true},
		{At: traceStart.Add(1), Kind: Ended, Service: "s", Address: "x", Request: "r", Evidence: fleet.Failed, Latency: 1500 * time.Microsecond},
		{At: traceStart.Add(2), Kind: Probed, Service: "s", Address: "x", Evidence: fleet.Succeeded, Latency: time.Millisecond},
		{At: traceStart.Add(3), Kind: Reported, Service: "s", Address: "x", Peer: "p", AvailabilityZone: "b", Excess: 3.25, Age: time.Second},
		{At: traceStart.Add(4), Kind: Paused},
	}
	var b bytes.Buffer
	r := NewRecorder(&b)
	for _, e := range events {
		r.Record(e)
	}
	is := is.New(t)
	is.NoErr(r.Close())
	is.Equal(r.Dropped.Load(), int64(0))
	got, err := Read(&b)
	is.NoErr(err)
	is.Equal(got, events)
}

// Guards against invalid traces that the reader accepts.
func TestReadErrors(t *testing.T) {
	const started = `{"at":"2026-01-01T00:00:00Z","kind":"started","service":"s","address":"x","request":"r"}`
	for name, text := range map[string]string{
		"no JSON":          "x",
		"cut short":        started[:40],
		"two values":       started + started,
		"unknown field":    `{"at":"2026-01-01T00:00:00Z","kind":"paused","zone":"a"}`,
		"unknown kind":     `{"at":"2026-01-01T00:00:00Z","kind":"stopped","service":"s","address":"x"}`,
		"no address":       `{"at":"2026-01-01T00:00:00Z","kind":"started","service":"s","request":"r"}`,
		"no evidence":      `{"at":"2026-01-01T00:00:00Z","kind":"ended","service":"s","address":"x","request":"r"}`,
		"negative latency": `{"at":"2026-01-01T00:00:00Z","kind":"probed","service":"s","address":"x","evidence":"failed","latency-ms":-1}`,
		"no definition":    `{"at":"2026-01-01T00:00:00Z","kind":"defined","service":"s"}`,
		"time goes back":   started + "\n" + strings.Replace(started, "2026", "2025", 1),
		"time far ahead":   started + "\n" + strings.Replace(started, "2026", "2027", 1),
		"floor above servers": `{"at":"2026-01-01T00:00:00Z","kind":"defined","service":"s",` +
			`"definition":{"preference":"balanced","floor":2,"cold-start-ms":0,"servers":[]}}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Read(strings.NewReader(text))
			assertLineError(t, err)
		})
	}
}

// Guards against traces that crash the reader or the replay, and against events that change when they are written and
// read again.
func FuzzRead(f *testing.F) {
	paths, _ := filepath.Glob(filepath.Join("..", "..", "_fixtures", "traces", "*.jsonl"))
	for _, p := range paths {
		contents, err := os.ReadFile(p)
		if err != nil {
			f.Fatal(err)
		}
		lines := bytes.SplitAfter(contents, []byte("\n"))
		f.Add(bytes.Join(lines[:4], nil))
		f.Add(bytes.Join(lines[len(lines)-4:], nil))
	}
	f.Fuzz(func(t *testing.T, contents []byte) {
		events, err := Read(bytes.NewReader(contents))
		if err != nil {
			return
		}
		if len(events) > 0 && events[len(events)-1].At.Sub(events[0].At) < time.Second {
			Replay(events)
		}
		assertRoundTrip(t, events)
	})
}

func assertRoundTrip(t *testing.T, events []Event) {
	t.Helper()
	is := is.New(t)
	var b bytes.Buffer
	for _, e := range events {
		is.NoErr(Write(&b, e))
	}
	again, err := Read(&b)
	is.NoErr(err)
	is.Equal(len(again), len(events))
	for i := range events {
		is.True(again[i].At.Equal(events[i].At))
		again[i].At = events[i].At
		is.Equal(again[i], events[i])
	}
}

func assertLineError(t *testing.T, err error) {
	t.Helper()
	var line LineError
	if !errors.As(err, &line) {
		t.Errorf("error %v is not a LineError", err)
	}
}
