// Package keycmd changes the Keys table. It claims idempotency keys and records the outcomes of the requests that use
// them.
package keycmd

import (
	"time"

	"egretline.example/egretline/pkg/decide/once"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Commands changes the Keys table of one node.
type Commands struct {
	Tables *table.Tables
}

// Claim decides how to handle a request with an idempotency key that this node owns. The request is identified by its
// method and target. After the verdict Run the caller must run the request and call Finish. After the verdict Wait the caller must call Claim again when the channel is
// closed, which happens when the running request has finished.
func (c *Commands) Claim(id once.TenantKey, key once.Key, request string, now time.Time) (once.Decision, <-chan struct{}) {
	var decision once.Decision
	var finished chan struct{}
	c.Tables.Members.Read(guard.Held{}, func(h guard.Held, m *table.Members) {
		epoch := once.Epoch(m.Started, now)
		c.Tables.Keys.Write(h, func(_ guard.Held, k *table.Keys) {
			decision = once.Claim(&k.Claims, id, key, request, epoch, k.Limits)
			if decision.Verdict == once.Run {
				k.Finished[id] = make(chan struct{})
			}
			finished = k.Finished[id]
		})
	})
	return decision, finished
}

// Finish records the outcome of a request for which Claim returned Run, and wakes the requests that wait for it. The
// response is nil if it is too large to keep. The caller must not modify it afterwards.
func (c *Commands) Finish(id once.TenantKey, outcome fleet.Outcome, r *once.Response) {
	c.Tables.Keys.Write(guard.Held{}, func(_ guard.Held, k *table.Keys) {
		once.Finish(&k.Claims, id, outcome, r, k.Limits)
		if finished, running := k.Finished[id]; running {
			close(finished)
			delete(k.Finished, id)
		}
	})
}

// Expire deletes the keys of epochs that are no longer accepted.
func (c *Commands) Expire(now time.Time) {
	c.Tables.Members.Read(guard.Held{}, func(h guard.Held, m *table.Members) {
		epoch := once.Epoch(m.Started, now)
		c.Tables.Keys.Write(h, func(_ guard.Held, k *table.Keys) {
			once.Expire(&k.Claims, epoch)
		})
	})
}
