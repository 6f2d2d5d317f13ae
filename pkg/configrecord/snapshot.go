package configrecord

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"egretline.example/egretline/pkg/decide/fold"
)

// maxStateBytes is the maximum size of a decompressed state. A state with 5,400 routes and 37,000 tenants takes about a
// quarter of it.
const maxStateBytes = 64 << 20

type stateJSON struct {
	Next      int64                   `json:"next"`
	Revision  int64                   `json:"revision"`
	Files     map[string]fileJSON     `json:"files"`
	Decisions map[string]decisionJSON `json:"decisions"`
}

type fileJSON struct {
	Revision int64  `json:"revision"`
	Contents []byte `json:"contents"`
}

type decisionJSON struct {
	Verdict  fold.Verdict `json:"verdict"`
	File     string       `json:"file"`
	Base     int64        `json:"base"`
	Revision int64        `json:"revision"`
	Offset   int64        `json:"offset"`
	Digest   string       `json:"digest"`
}

// EncodeState returns the state in the JSON format that peers exchange.
func EncodeState(s fold.State) []byte {
	encoded := stateJSON{Next: s.Next, Revision: s.Revision,
		Files: map[string]fileJSON{}, Decisions: map[string]decisionJSON{}}
	for name, f := range s.Files {
		encoded.Files[name] = fileJSON(f)
	}
	for id, d := range s.Decisions {
		encoded.Decisions[id] = decisionJSON(d)
	}
	// A struct of strings, numbers and bytes can always be encoded.
	data, _ := json.Marshal(encoded)
	return data
}

// DecodeState returns the state from its JSON format, or MalformedError if the fold cannot have produced it.
func DecodeState(data []byte) (fold.State, error) {
	var decoded stateJSON
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fold.State{}, malformedSnapshot(err.Error())
	}
	s := fold.State{Next: decoded.Next, Revision: decoded.Revision}
	if len(decoded.Files) > 0 {
		s.Files = make(map[string]fold.File, len(decoded.Files))
	}
	for name, f := range decoded.Files {
		s.Files[name] = fold.File(f)
	}
	if len(decoded.Decisions) > 0 {
		s.Decisions = make(map[string]fold.Decision, len(decoded.Decisions))
	}
	for id, d := range decoded.Decisions {
		s.Decisions[id] = fold.Decision(d)
	}
	if reason := inconsistency(s); reason != "" {
		return fold.State{}, malformedSnapshot(reason)
	}
	return s, nil
}

// inconsistency returns why the fold cannot have produced the state, or an empty string.
func inconsistency(s fold.State) string {
	if s.Next < 0 {
		return "next is negative"
	}
	maxRevision := int64(0)
	for _, f := range s.Files {
		if f.Revision <= 0 {
			return "revision of a file is not positive"
		}
		maxRevision = max(maxRevision, f.Revision)
	}
	if maxRevision != s.Revision {
		return "revision is not the highest revision of the files"
	}
	if s.Revision > s.Next {
		return "revision is higher than the number of records covered"
	}
	return decisionInconsistency(s)
}

func decisionInconsistency(s fold.State) string {
	if len(s.Decisions) > fold.MaxDecisions {
		return "too many decisions"
	}
	for _, d := range s.Decisions {
		if d.Verdict != fold.Accepted && d.Verdict != fold.Conflict {
			return "unknown verdict"
		}
		if d.Offset < 0 || d.Offset >= s.Next {
			return "decision on a record that the state does not cover"
		}
	}
	return ""
}

// EncodeSnapshot returns the log record of the state. It is compressed, because hexadecimal token hashes of tenants and
// repeated keys of files take up most of a state.
func EncodeSnapshot(s fold.State) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// Writes to a bytes.Buffer do not fail.
	_, _ = w.Write(EncodeState(s))
	_ = w.Close()
	return b.Bytes()
}

// DecodeSnapshot returns the state of a snapshot record, or MalformedError if the data is not a snapshot.
func DecodeSnapshot(data []byte) (fold.State, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return fold.State{}, malformedSnapshot(err.Error())
	}
	decompressed, err := io.ReadAll(io.LimitReader(r, maxStateBytes+1))
	if err != nil {
		return fold.State{}, malformedSnapshot(err.Error())
	}
	if len(decompressed) > maxStateBytes {
		return fold.State{}, malformedSnapshot("decompressed state is too large")
	}
	return DecodeState(decompressed)
}

func malformedSnapshot(reason string) error {
	return MalformedError{Kind: "snapshot", Reason: reason}
}
