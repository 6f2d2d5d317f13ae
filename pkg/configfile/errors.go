package configfile

import (
	"fmt"

	"egretline.example/egretline/pkg/fleet"
)

// Each kind of validation error has a type, by which callers can distinguish them. All hold the file, line, key and
// remedy.
type (
	// SyntaxError is text that is not TOML, or a value of the wrong TOML type.
	SyntaxError struct{ fleet.Problem }
	// UnknownKeyError is a key that the schema does not define in this table.
	UnknownKeyError struct{ fleet.Problem }
	// MissingKeyError is a missing required key.
	MissingKeyError struct{ fleet.Problem }
	// NameError is a name that is not kebab-case, or an invalid file name.
	NameError struct{ fleet.Problem }
	// DurationError is a duration that is negative or has no valid number and unit.
	DurationError struct{ fleet.Problem }
	// RangeError is a number outside its range.
	RangeError struct{ fleet.Problem }
	// ShareError is a share outside 0 to 1, or shares that add up to more than 1.
	ShareError struct{ fleet.Problem }
	// FloorError is a floor above the pool size.
	FloorError struct{ fleet.Problem }
	// ReferenceError is a reference to an undefined service or rank.
	ReferenceError struct{ fleet.Problem }
	// AddressError is an address that is not IP:port.
	AddressError struct{ fleet.Problem }
	// ChoiceError is a value outside the allowed set, or an invalid HTTP method or path prefix.
	ChoiceError struct{ fleet.Problem }
	// DuplicateError is a name, address, token hash, route match, table or key that is defined twice.
	DuplicateError struct{ fleet.Problem }
	// TokenHashError is a token hash that is not a SHA-256 hash in lower-case hex.
	TokenHashError struct{ fleet.Problem }
)

// ValidationError is implemented by every error that has a position in a configuration file.
type ValidationError interface {
	error
	// Detail returns the position, message and remedy.
	Detail() fleet.Problem
}

// InvalidFileError reports an invalid file. Errors is sorted by line.
type InvalidFileError struct {
	File   string
	Errors []ValidationError
}

func (e InvalidFileError) Error() string {
	if len(e.Errors) == 1 {
		return e.Errors[0].Error()
	}
	return fmt.Sprintf("%s (and %d more)", e.Errors[0].Error(), len(e.Errors)-1)
}

// Unwrap returns the validation errors.
func (e InvalidFileError) Unwrap() []error {
	errs := make([]error, len(e.Errors))
	for i, err := range e.Errors {
		errs[i] = err
	}
	return errs
}

// Problems returns the details of the validation errors.
func (e InvalidFileError) Problems() []fleet.Problem {
	problems := make([]fleet.Problem, len(e.Errors))
	for i, err := range e.Errors {
		problems[i] = err.Detail()
	}
	return problems
}
