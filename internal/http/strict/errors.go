package strict

import "fmt"

// StatusError reports a response with a status below the range of HTTP, such as 000.
type StatusError struct {
	Status int
}

func (e StatusError) Error() string {
	return fmt.Sprintf("response has the invalid status %03d", e.Status)
}
