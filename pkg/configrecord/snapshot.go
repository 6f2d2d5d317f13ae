package configrecord

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"egretline.example/egretline/pkg/decide/fold"
)

// maxState bounds the decompressed bytes of a state. At 5,400 routes and 37,000 tenants a state takes about a quarter
// of it.
const maxState = 64 << 20

type state struct {
	Next      int64               `json:"next"`
	Revision  int64               `json:"revision"`
	Files     map[string]file     `json:"files"`
	Decisions map[string]decision `json:"decisions"`
}

type file struct {
	Revision int64  `json:"revision"`
	Contents []byte `json:"contents"`
}

type decision struct {
	Verdict  fold.Verdict `json:"verdict"`
	File     string       `json:"file"`
	Base     int64        `json:"base"`
	Revision int64        `json:"revision"`
	Offset   int64        `json:"offset"`
	Digest   string       `json:"digest"`
}

// EncodeState returns the JSON form of the state, in which peers pass it to each other.
func EncodeState(s fold.State) []byte {
	form := state{Next: s.Next, Revision: s.Revision, Files: map[string]file{}, Decisions: map[string]decision{}}
	for name, f := range s.Files {
		form.Files[name] = file(f)
	}
	for id, d := range s.Decisions {
		form.Decisions[id] = decision(d)
	}
	// A struct of strings, numbers and bytes always encodes.
	data, _ := json.Marshal(form)
	return data
}

// DecodeState returns the state of its JSON form. It returns MalformedError if it is not one that the fold produces.
func DecodeState(data []byte) (fold.State, error) {
	var form state
	if err := json.Unmarshal(data, &form); err != nil {
		return fold.State{}, malformed(err.Error())
	}
	s := fold.State{Next: form.Next, Revision: form.Revision}
	if len(form.Files) > 0 {
		s.Files = make(map[string]fold.File, len(form.Files))
	}
	for name, f := range form.Files {
		s.Files[name] = fold.File(f)
	}
	if len(form.Decisions) > 0 {
		s.Decisions = make(map[string]fold.Decision, len(form.Decisions))
	}
	for id, d := range form.Decisions {
		s.Decisions[id] = fold.Decision(d)
	}
	if reason := inconsistency(s); reason != "" {
		return fold.State{}, malformed(reason)
	}
	return s, nil
}

func inconsistency(s fold.State) string {
	if s.Next < 0 {
		return "next is negative"
	}
	highest := int64(0)
	for _, f := range s.Files {
		if f.Revision <= 0 {
			return "revision of a file is not positive"
		}
		highest = max(highest, f.Revision)
	}
	if highest != s.Revision {
		return "revision is not the highest revision of the files"
	}
	if s.Revision > s.Next {
		return "revision is above the records covered"
	}
	return inconsistentDecision(s)
}

func inconsistentDecision(s fold.State) string {
	if len(s.Decisions) > fold.MaxDecisions {
		return "too many decisions"
	}
	for _, d := range s.Decisions {
		if d.Verdict != fold.Accepted && d.Verdict != fold.Conflict {
			return "unknown verdict"
		}
		if d.Offset < 0 || d.Offset >= s.Next {
			return "decision on a record that is not covered"
		}
	}
	return ""
}

// EncodeSnapshot returns the log record of the state. It is compressed, because the token hashes of the tenants and the
// repeated keys of the files take most of it.
func EncodeSnapshot(s fold.State) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// A write to a buffer in memory does not fail.
	_, _ = w.Write(EncodeState(s))
	_ = w.Close()
	return b.Bytes()
}

// DecodeSnapshot returns the state of a snapshot record. It returns MalformedError if it is not one.
func DecodeSnapshot(data []byte) (fold.State, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return fold.State{}, malformed(err.Error())
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxState+1))
	if err != nil {
		return fold.State{}, malformed(err.Error())
	}
	if len(plain) > maxState {
		return fold.State{}, malformed("decompressed state is too large")
	}
	return DecodeState(plain)
}

func malformed(reason string) error {
	return MalformedError{Kind: "snapshot", Reason: reason}
}
