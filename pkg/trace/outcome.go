package trace

import (
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// OutcomeError reports an outcome file that cannot be used.
type OutcomeError struct {
	Reason string
}

func (e OutcomeError) Error() string {
	return "outcome file: " + e.Reason
}

type outcomeFile struct {
	Expected []expectationLine `json:"expected"`
}

type expectationLine struct {
	Service string  `json:"service"`
	Address string  `json:"address"`
	Change  Change  `json:"change"`
	FromMS  float64 `json:"from-ms"`
	ToMS    float64 `json:"to-ms"`
}

// ReadOutcome returns the stated outcome. It returns a wrapped OutcomeError for a file that is not valid.
func ReadOutcome(r io.Reader) (Outcome, error) {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	var f outcomeFile
	if err := d.Decode(&f); err != nil {
		return Outcome{}, eris.Wrap(OutcomeError{Reason: err.Error()}, "read stated outcome")
	}
	var o Outcome
	for _, x := range f.Expected {
		if x.Change != Avoided && x.Change != Ejected && x.Change != Readmitted {
			return Outcome{}, eris.Wrap(OutcomeError{Reason: "unknown change " + string(x.Change)}, "read stated outcome")
		}
		if !inRange(x.FromMS) || !inRange(x.ToMS) || x.FromMS > x.ToMS {
			return Outcome{}, eris.Wrap(OutcomeError{Reason: "from-ms or to-ms out of range"}, "read stated outcome")
		}
		o.Expected = append(o.Expected, Expectation{
			Service: x.Service, Address: x.Address, Change: x.Change, From: duration(x.FromMS), To: duration(x.ToMS),
		})
	}
	return o, nil
}
