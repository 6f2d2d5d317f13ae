package configfile

import (
	"fmt"

	"egretline.example/egretline/pkg/fleet"
)

// Each kind of fault has its own type, so that callers can tell them apart. All carry the place and the remedy.
type (
	// SyntaxError is text that is not TOML, or a value of the wrong TOML type.
	SyntaxError struct{ fleet.Problem }
	// UnknownKeyError is a key that has no meaning at its place.
	UnknownKeyError struct{ fleet.Problem }
	// MissingKeyError is a required key that is not there.
	MissingKeyError struct{ fleet.Problem }
	// NameError is a name that is not kebab-case.
	NameError struct{ fleet.Problem }
	// UnitError is a duration without a usable unit.
	UnitError struct{ fleet.Problem }
	// RangeError is a number outside its range.
	RangeError struct{ fleet.Problem }
	// ShareError is a share above 1, or shares that add up to more than 1.
	ShareError struct{ fleet.Problem }
	// FloorError is a floor above the pool size.
	FloorError struct{ fleet.Problem }
	// ReferenceError is a reference to a service or rank that is not defined.
	ReferenceError struct{ fleet.Problem }
	// AddressError is an address that is not IP:port.
	AddressError struct{ fleet.Problem }
	// ChoiceError is a value that is not one of the allowed words.
	ChoiceError struct{ fleet.Problem }
	// DuplicateError is a name, address or token hash that is used twice.
	DuplicateError struct{ fleet.Problem }
	// TokenHashError is a token hash that is not SHA-256 in lower-case hex.
	TokenHashError struct{ fleet.Problem }
)

// Fault is implemented by every error of this package that has a place in a file.
type Fault interface {
	error
	// Detail returns the place, the fault and the remedy.
	Detail() fleet.Problem
}

// RefusedError reports a file that fails the check. Unwrap gives its faults in the order of their lines.
type RefusedError struct {
	File   string
	Faults []Fault
}

func (e RefusedError) Error() string {
	if len(e.Faults) == 1 {
		return e.Faults[0].Error()
	}
	return fmt.Sprintf("%s (and %d more)", e.Faults[0].Error(), len(e.Faults)-1)
}

// Unwrap returns the faults.
func (e RefusedError) Unwrap() []error {
	errs := make([]error, len(e.Faults))
	for i, f := range e.Faults {
		errs[i] = f
	}
	return errs
}

// Problems returns the faults as data.
func (e RefusedError) Problems() []fleet.Problem {
	problems := make([]fleet.Problem, len(e.Faults))
	for i, f := range e.Faults {
		problems[i] = f.Detail()
	}
	return problems
}
