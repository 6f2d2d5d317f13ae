package healthquery

import (
	"math"
	"time"

	"egretline.example/egretline/pkg/table"
)

const (
	// lossWindow is the time constant of the counts of attempts. The floor of a service is judged over two seconds.
	lossWindow = 2 * time.Second
	// distressShare is the part of attempts that may be lost before a service counts as distressed. It is below the tenth
	// of requests from which on the floor is judged.
	distressShare = 0.07
	// fewestAttempts keeps single failures of a service with little traffic from counting.
	fewestAttempts = 4
)

// Distressed says whether the service loses many requests at servers that were thought to be well.
func Distressed(h *table.Health, now time.Time) bool {
	if h == nil {
		return false
	}
	f := LossDecay(h, now)
	return h.Tried*f >= fewestAttempts && h.Lost > distressShare*h.Tried
}

// LossDecay returns what is left of the counts of attempts.
func LossDecay(h *table.Health, now time.Time) float64 {
	return math.Exp(-max(0, now.Sub(h.CountedAt).Seconds()) / lossWindow.Seconds())
}
