package table

import "egretline.example/egretline/pkg/decide/once"

// Keys holds the idempotency keys that this node owns.
type Keys struct {
	Claims once.Keys
	Limits once.Limits
	// Finished holds a channel for each running request. The channel is closed when the request has finished.
	Finished map[once.TenantKey]chan struct{}
}

func newKeys() Keys {
	return Keys{
		Claims:   once.Keys{Entries: map[once.TenantKey]once.Entry{}},
		Limits:   once.DefaultLimits(),
		Finished: map[once.TenantKey]chan struct{}{},
	}
}
