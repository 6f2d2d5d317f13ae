package table

import "egretline.example/egretline/pkg/decide/once"

// Keys is the state of the idempotency keys whose home is this node.
type Keys struct {
	Once   once.Keys
	Limits once.Limits
	// Finished holds, for each running request, a channel that is closed when the request has finished.
	Finished map[once.ID]chan struct{}
}

func newKeys() Keys {
	return Keys{
		Once:     once.Keys{Entries: map[once.ID]once.Entry{}},
		Limits:   once.DefaultLimits(),
		Finished: map[once.ID]chan struct{}{},
	}
}
