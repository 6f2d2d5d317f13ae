package healthquery

import (
	"math"
	"time"

	"egretline.example/egretline/pkg/table"
)

const (
	// lossWindow is the time constant of the counts of requests. The floor of a service is judged over two seconds.
	lossWindow = 2 * time.Second
	// distressShare is the part of requests that may be lost before a service counts as distressed. It is below the tenth
	// from which on the floor is judged.
	distressShare = 0.07
	// singleLosses keeps the lost requests that are usual from counting at a node with little traffic.
	singleLosses = 1.5
)

// Distressed says whether the service loses many requests.
func Distressed(h *table.Health, now time.Time) bool {
	if h == nil {
		return false
	}
	f := LossDecay(h, now)
	return h.Lost*f > distressShare*h.Settled*f+singleLosses
}

// LossDecay returns what is left of the counts of requests.
func LossDecay(h *table.Health, now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(h.SettledAt).Seconds()) / lossWindow.Seconds())
}
