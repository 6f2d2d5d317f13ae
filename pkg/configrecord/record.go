// Package configrecord is the encoding of the records that the project keeps in the platform's log. The decisions about
// them are in pkg/decide/fold.
package configrecord

import (
	"encoding/json"
	"fmt"

	"egretline.example/egretline/pkg/decide/fold"
)

// MalformedError reports a record that is not a valid one of its kind.
type MalformedError struct {
	// Kind is "apply" or "snapshot".
	Kind   string
	Reason string
}

func (e MalformedError) Error() string {
	return fmt.Sprintf("malformed %s record: %s", e.Kind, e.Reason)
}

type apply struct {
	ID       string `json:"apply-id"`
	File     string `json:"file"`
	Base     int64  `json:"base"`
	Contents []byte `json:"contents"`
}

// EncodeApply returns the log record of the apply.
func EncodeApply(a fold.Apply) []byte {
	// A struct of strings, numbers and bytes always encodes.
	data, _ := json.Marshal(apply(a))
	return data
}

// DecodeApply returns the apply of a log record. It returns MalformedError for anything else.
func DecodeApply(data []byte) (fold.Apply, error) {
	var a apply
	if err := json.Unmarshal(data, &a); err != nil {
		return fold.Apply{}, MalformedError{Kind: "apply", Reason: err.Error()}
	}
	switch {
	case a.ID == "" || len(a.ID) > fold.MaxID:
		return fold.Apply{}, MalformedError{Kind: "apply", Reason: "apply-id is missing or too long"}
	case a.File == "" || len(a.File) > fold.MaxFileName:
		return fold.Apply{}, MalformedError{Kind: "apply", Reason: "file is missing or its name is too long"}
	case a.Base < 0:
		return fold.Apply{}, MalformedError{Kind: "apply", Reason: "base is negative"}
	}
	return fold.Apply(a), nil
}
