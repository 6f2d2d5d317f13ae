package strict

import "fmt"

// StatusError reports a response with a status below the range of HTTP, such as 000.
type StatusError struct {
	Status int
}

func (e StatusError) Error() string {
	return fmt.Sprintf("response has the invalid status %03d", e.Status)
}

// FieldNameError reports a response head with a field whose name is not valid.
type FieldNameError struct {
	Name string
}

func (e FieldNameError) Error() string {
	return fmt.Sprintf("response has a field with the invalid name %q", e.Name)
}
