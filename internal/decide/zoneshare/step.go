package zoneshare

import (
	"math"
	"time"
)

const (
	// demandTimeConstant smooths the demand. It is about a service time, within which the number of requests in flight
	// does not settle.
	demandTimeConstant = 500 * time.Millisecond
	// minStartShare is the share below which nothing leaves yet, and holdBand the difference from the wanted share within
	// which the share does not move. Demand of 40 slots varies by 16% without a change of the arrival rate.
	minStartShare = 0.03
	holdBand      = 0.06
	// Shares rise quickly, because surges last a few seconds, and fall slowly, because requests that return too early
	// would wait.
	maxRisePerSecond = 2.0
	maxFallPerSecond = 0.5
	// minFullLoad is the load of all zones down to which they stay full once they were.
	minFullLoad = 0.95
	// maxStep is the longest time that counts as one step. A host that was paused has old figures.
	maxStep = time.Second
)

// Smooth returns the mean of the demand after a sample that was taken the given time after the previous one.
func Smooth(mean, sample float64, elapsed time.Duration) float64 {
	return sample + (mean-sample)*math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
}

// Step returns the plan that follows the current one after the elapsed time. The share moves towards the wanted one at a
// bounded rate, and stays where it is within a band around it. A zone without servers is left at once.
func Step(current, wanted Plan, elapsed time.Duration) Plan {
	next := wanted
	if wanted.Cause == NoServers {
		return next
	}
	seconds := min(elapsed, maxStep).Seconds()
	difference := wanted.Share - current.Share
	switch {
	case current.Share == 0 && wanted.Share < minStartShare:
		next.Share, next.Cause = 0, idleCause(wanted)
	case wanted.Share > 0 && math.Abs(difference) <= holdBand:
		next.Share = current.Share
	case difference > 0:
		next.Share = min(wanted.Share, current.Share+maxRisePerSecond*seconds)
	default:
		next.Share = max(wanted.Share, current.Share-maxFallPerSecond*seconds)
	}
	if next.Share > 0 && wanted.Cause == Home {
		next.Cause = current.Cause
	}
	if current.Cause == Full && wanted.Load > minFullLoad {
		next.Cause = Full
	}
	next.Rising = wanted.Share-next.Share > holdBand
	return next
}

// idleCause returns the cause of a plan by which nothing leaves.
func idleCause(wanted Plan) Cause {
	if wanted.Cause == CutOff || wanted.Cause == Full {
		return wanted.Cause
	}
	return Home
}
