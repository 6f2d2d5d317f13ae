package trace

import (
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// OutcomeError reports an invalid outcome file.
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

// ReadOutcome parses an outcome file. It returns a wrapped OutcomeError for an invalid file.
func ReadOutcome(r io.Reader) (Outcome, error) {
	d := json.NewDecoder(r)
	d.DisallowUnknownFields()
	var f outcomeFile
	if err := d.Decode(&f); err != nil {
		return Outcome{}, eris.Wrap(OutcomeError{Reason: err.Error()}, "read expected outcome")
	}
	var o Outcome
	for _, x := range f.Expected {
		if x.Change != Avoided && x.Change != Ejected && x.Change != Readmitted {
			return Outcome{}, eris.Wrap(OutcomeError{Reason: "unknown change " + string(x.Change)}, "read expected outcome")
		}
		if !inRange(x.FromMS) || !inRange(x.ToMS) || x.FromMS > x.ToMS {
			return Outcome{}, eris.Wrap(OutcomeError{Reason: "from-ms or to-ms out of range"}, "read expected outcome")
		}
		o.Expected = append(o.Expected, Expectation{
			Service: x.Service, Address: x.Address, Change: x.Change, From: fromMilliseconds(x.FromMS), To: fromMilliseconds(x.ToMS),
		})
	}
	return o, nil
}
