package table

import "egretline.example/egretline/internal/decide/pause"

// Pauses holds what is known of the pauses of the node's process.
type Pauses struct {
	pause.State
	// Refreshed is closed when the refresh after the last pause has ended; nil if there was none.
	Refreshed chan struct{}
}
