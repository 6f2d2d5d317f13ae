package configrecord

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/decide/fold"
)

var example = fold.State{
	Next: 4, Revision: 3,
	Files: map[string]fold.File{"a.toml": {Revision: 3, Contents: []byte("x = 1")}},
	Decisions: map[string]fold.Decision{
		"id": {Verdict: fold.Accepted, File: "a.toml", Base: 1, Revision: 3, Offset: 2, Digest: "d"},
	},
}

// Guards against states that change on their way through the log or between peers.
func TestRoundTrip(t *testing.T) {
	t.Run("apply", func(t *testing.T) {
		is := is.New(t)
		a := fold.Apply{ID: "id", File: "a.toml", Base: 7, Contents: []byte("x = 1")}
		got, err := DecodeApply(EncodeApply(a))
		is.NoErr(err)
		is.Equal(got, a)
	})
	t.Run("snapshot", func(t *testing.T) {
		is := is.New(t)
		got, err := DecodeSnapshot(EncodeSnapshot(example))
		is.NoErr(err)
		is.Equal(got, example)
	})
	t.Run("empty state", func(t *testing.T) {
		is := is.New(t)
		got, err := DecodeState(EncodeState(fold.State{}))
		is.NoErr(err)
		is.Equal(got, fold.State{})
	})
}

// Guards against the adoption of states that no fold produces.
func TestMalformed(t *testing.T) {
	t.Run("apply without ID", func(t *testing.T) {
		_, err := DecodeApply([]byte(`{"file":"a"}`))
		assertMalformed(t, err)
	})
	t.Run("apply with an ID that is too long to remember", func(t *testing.T) {
		_, err := DecodeApply(EncodeApply(fold.Apply{ID: strings.Repeat("x", fold.MaxID+1), File: "a"}))
		assertMalformed(t, err)
	})
	t.Run("apply with a negative base", func(t *testing.T) {
		_, err := DecodeApply([]byte(`{"apply-id":"i","file":"a","base":-1}`))
		assertMalformed(t, err)
	})
	t.Run("snapshot that is cut off", func(t *testing.T) {
		data := EncodeSnapshot(example)
		_, err := DecodeSnapshot(data[:len(data)-9])
		assertMalformed(t, err)
	})
	t.Run("revision above the records", func(t *testing.T) {
		assertInconsistent(t, func(s *fold.State) { s.Next = 2 })
	})
	t.Run("revision that no file has", func(t *testing.T) {
		assertInconsistent(t, func(s *fold.State) { s.Revision = 4 })
	})
	t.Run("decision beyond the records", func(t *testing.T) {
		assertInconsistent(t, func(s *fold.State) {
			s.Decisions = map[string]fold.Decision{"id": {Verdict: fold.Conflict, Offset: 4}}
		})
	})
	t.Run("unknown verdict", func(t *testing.T) {
		assertInconsistent(t, func(s *fold.State) { s.Decisions = map[string]fold.Decision{"id": {Verdict: "maybe"}} })
	})
}

func FuzzDecodeApply(f *testing.F) {
	f.Add(EncodeApply(fold.Apply{ID: "id", File: "a.toml", Contents: []byte("x")}))
	f.Fuzz(func(t *testing.T, data []byte) {
		a, err := DecodeApply(data)
		if err != nil {
			return
		}
		again, err := DecodeApply(EncodeApply(a))
		if err != nil || again.ID != a.ID || again.File != a.File || !bytes.Equal(again.Contents, a.Contents) {
			t.Fatalf("%v became %v: %v", a, again, err)
		}
	})
}

func FuzzDecodeState(f *testing.F) {
	f.Add(EncodeState(example))
	f.Add([]byte(`{"next":1,"files":{"a":null}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeState(data)
		if err != nil {
			return
		}
		// A state that passed must survive the fold and its own encoding.
		s, err = fold.Step(s, s.Next, fold.Apply{ID: "new", File: "a.toml"})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeState(EncodeState(s)); err != nil && s.Next > 0 {
			t.Fatal(err)
		}
	})
}

func FuzzDecodeSnapshot(f *testing.F) {
	f.Add(EncodeSnapshot(example))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeSnapshot(data)
		if err != nil {
			return
		}
		if _, err := DecodeSnapshot(EncodeSnapshot(s)); err != nil {
			t.Fatal(err)
		}
	})
}

func assertMalformed(t *testing.T, err error) {
	t.Helper()
	is.New(t).True(errors.As(err, &MalformedError{}))
}

func assertInconsistent(t *testing.T, change func(*fold.State)) {
	t.Helper()
	s := example
	change(&s)
	_, err := DecodeState(EncodeState(s))
	assertMalformed(t, err)
}
