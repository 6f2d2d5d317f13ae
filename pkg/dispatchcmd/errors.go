package dispatchcmd

import (
	"context"
	"errors"
	"fmt"
	"time"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/decide/retry"
)

// ServiceError reports a request for a service without backend servers in the configuration.
type ServiceError struct {
	Service string
}

func (e ServiceError) Error() string {
	return fmt.Sprintf("service %q has no backend servers in the configuration", e.Service)
}

// ClosingError reports a request that arrived after Dispatcher.CloseAdmission was called.
type ClosingError struct{}

func (ClosingError) Error() string {
	return "the node is stopping and takes no more requests"
}

// ExpiredError reports a request whose deadline passed while it waited in the queue.
type ExpiredError struct {
	Service string
}

func (e ExpiredError) Error() string {
	return fmt.Sprintf("request waited in the queue of service %q until its deadline", e.Service)
}

// AbandonedError reports a request that its caller canceled while it waited in the queue.
type AbandonedError struct {
	Service string
}

func (e AbandonedError) Error() string {
	return fmt.Sprintf("caller gave up a request that waited in the queue of service %q", e.Service)
}

// SupersededError reports an attempt that was canceled because its backup attempt succeeded first.
type SupersededError struct {
	Address string
}

func (e SupersededError) Error() string {
	return fmt.Sprintf("attempt at backend server %s was superseded by its backup attempt", e.Address)
}

// TurnedAwayError reports a request that servers turned away and that found no server in the time that it had.
type TurnedAwayError struct {
	Service    string
	RetryAfter time.Duration
}

func (e TurnedAwayError) Error() string {
	return fmt.Sprintf("servers of service %q turned the request away until its time was over; retry after %s", e.Service, e.RetryAfter)
}

// RepeatedError reports a request that another node may have sent before, and that this node does not send.
type RepeatedError struct {
	Service string
	Reason  retry.Reason
}

func (e RepeatedError) Error() string {
	return fmt.Sprintf("request for service %q may have been sent by another node and is not repeated: %s", e.Service, e.Reason)
}

// AttemptsError reports a request whose last attempt got no response.
type AttemptsError struct {
	Attempts int
	Reason   retry.Reason
	Err      error
}

func (e AttemptsError) Error() string {
	return fmt.Sprintf("attempt %d failed and was the last: %s: %v", e.Attempts, e.Reason, e.Err)
}

func (e AttemptsError) Unwrap() error { return e.Err }

// RetryAfter returns the delay that the error asks the caller to wait before a retry, or zero.
func RetryAfter(err error) time.Duration {
	var refused admission.RefusedError
	if errors.As(err, &refused) {
		return refused.RetryAfter
	}
	var turnedAway TurnedAwayError
	if errors.As(err, &turnedAway) {
		return turnedAway.RetryAfter
	}
	if errors.As(err, &ClosingError{}) {
		return admission.StoppingRetryAfter
	}
	return 0
}

func endError(ctx context.Context, service string) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return AbandonedError{Service: service}
	}
	return ExpiredError{Service: service}
}
