package configrecord

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/decide/fold"
)

var exampleState = fold.State{
	Next: 4, Revision: 3,
	Files: map[string]fold.File{"a.toml": {Revision: 3, Contents: []byte("x = 1")}},
	Decisions: map[string]fold.Decision{
		"id": {Verdict: fold.Accepted, File: "a.toml", Base: 1, Revision: 3, Offset: 2, Digest: "d"},
	},
}

// Guards against states that change when they are encoded and decoded.
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
		got, err := DecodeSnapshot(EncodeSnapshot(exampleState))
		is.NoErr(err)
		is.Equal(got, exampleState)
	})
	t.Run("empty state", func(t *testing.T) {
		is := is.New(t)
		got, err := DecodeState(EncodeState(fold.State{}))
		is.NoErr(err)
		is.Equal(got, fold.State{})
	})
}

// Guards against decoding invalid records, and states that the fold cannot have produced.
func TestMalformed(t *testing.T) {
	t.Run("apply without ID", func(t *testing.T) {
		_, err := DecodeApply([]byte(`{"file":"a"}`))
		assertMalformed(t, err)
	})
	t.Run("apply with an ID that is too long", func(t *testing.T) {
		_, err := DecodeApply(EncodeApply(fold.Apply{ID: strings.Repeat("x", fold.MaxIDBytes+1), File: "a"}))
		assertMalformed(t, err)
	})
	t.Run("apply with a negative base", func(t *testing.T) {
		_, err := DecodeApply([]byte(`{"apply-id":"i","file":"a","base":-1}`))
		assertMalformed(t, err)
	})
	t.Run("truncated snapshot", func(t *testing.T) {
		data := EncodeSnapshot(exampleState)
		_, err := DecodeSnapshot(data[:len(data)-9])
		assertMalformed(t, err)
	})
	t.Run("revision above the number of records", func(t *testing.T) {
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
		decodedAgain, err := DecodeApply(EncodeApply(a))
		if err != nil || decodedAgain.ID != a.ID || decodedAgain.File != a.File ||
			!bytes.Equal(decodedAgain.Contents, a.Contents) {
			t.Fatalf("%v became %v: %v", a, decodedAgain, err)
		}
	})
}

func FuzzDecodeState(f *testing.F) {
	f.Add(EncodeState(exampleState))
	f.Add([]byte(`{"next":1,"files":{"a":null}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := DecodeState(data)
		if err != nil {
			return
		}
		// Every decoded state must be valid input of the fold. The result must be decodable, unless Next overflows.
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
	f.Add(EncodeSnapshot(exampleState))
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
	s := exampleState
	change(&s)
	_, err := DecodeState(EncodeState(s))
	assertMalformed(t, err)
}
