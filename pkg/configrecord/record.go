// Package configrecord encodes and decodes the configuration records in the platform's log. Package fold decides
// which effect they have.
package configrecord

import (
	"encoding/json"
	"fmt"

	"egretline.example/egretline/pkg/decide/fold"
)

// MalformedError reports data that is not a valid record of the expected kind.
type MalformedError struct {
	// Kind is "apply" or "snapshot".
	Kind   string
	Reason string
}

func (e MalformedError) Error() string {
	return fmt.Sprintf("malformed %s record: %s", e.Kind, e.Reason)
}

type applyJSON struct {
	ID       string `json:"apply-id"`
	File     string `json:"file"`
	Base     int64  `json:"base"`
	Contents []byte `json:"contents"`
}

// EncodeApply returns the log record of the apply.
func EncodeApply(a fold.Apply) []byte {
	// A struct of strings, numbers and bytes can always be encoded.
	data, _ := json.Marshal(applyJSON(a))
	return data
}

// DecodeApply returns the apply of a log record, or MalformedError if the data is not an apply record.
func DecodeApply(data []byte) (fold.Apply, error) {
	var a applyJSON
	if err := json.Unmarshal(data, &a); err != nil {
		return fold.Apply{}, MalformedError{Kind: "apply", Reason: err.Error()}
	}
	switch {
	case a.ID == "" || len(a.ID) > fold.MaxIDBytes:
		return fold.Apply{}, MalformedError{Kind: "apply", Reason: "apply-id is missing or too long"}
	case a.File == "" || len(a.File) > fold.MaxFileNameBytes:
		return fold.Apply{}, MalformedError{Kind: "apply", Reason: "file is missing or its name is too long"}
	case a.Base < 0:
		return fold.Apply{}, MalformedError{Kind: "apply", Reason: "base is negative"}
	}
	return fold.Apply(a), nil
}
