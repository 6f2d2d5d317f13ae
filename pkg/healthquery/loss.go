package healthquery

import (
	"math"
	"time"

	"egretline.example/egretline/pkg/table"
)

const (
	// lossTimeConstant is the time constant of the exponentially decayed request counts. It matches the two seconds over
	// which the floor of a service (its minimum number of healthy servers) is evaluated.
	lossTimeConstant = 2 * time.Second
	// highLossFraction is the fraction of lost requests above which the loss of a service is high. It is below one
	// tenth, the loss from which the floor of a service is evaluated.
	highLossFraction = 0.07
	// lossAllowanceRequests is the number of lost requests that is ignored. At a node with little traffic, the usual single
	// losses would otherwise exceed highLossFraction.
	lossAllowanceRequests = 1.5
)

// HasHighLoss reports whether the service is losing a large fraction of its requests.
func HasHighLoss(h *table.ServiceHealth, now time.Time) bool {
	if h == nil {
		return false
	}
	f := LossDecayFactor(h, now)
	return h.Unserved*f > highLossFraction*h.Ended*f+lossAllowanceRequests
}

// LossDecayFactor returns the factor by which the request counts have decayed since they were last updated.
func LossDecayFactor(h *table.ServiceHealth, now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(h.CountedAt).Seconds()) / lossTimeConstant.Seconds())
}
