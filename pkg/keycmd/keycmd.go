// Package keycmd changes the Keys table: it claims idempotency keys and records the outcomes of their requests.
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

// Claim decides what becomes of a request with a key whose home is this node. With the verdict Run the caller must call
// Finish. With the verdict Wait the channel is closed when the running request has finished, and Claim is to be called
// again.
func (c *Commands) Claim(id once.ID, key once.Key, request string, now time.Time) (once.Decision, <-chan struct{}) {
	var d once.Decision
	var finished chan struct{}
	c.Tables.Members.Read(guard.Held{}, func(h guard.Held, m *table.Members) {
		epoch := once.Epoch(m.Started, now)
		c.Tables.Keys.Write(h, func(_ guard.Held, k *table.Keys) {
			d = once.Claim(&k.Once, id, key, request, epoch, k.Limits)
			if d.Verdict == once.Run {
				k.Finished[id] = make(chan struct{})
			}
			finished = k.Finished[id]
		})
	})
	return d, finished
}

// Finish records the outcome of a request that Claim said to run, and wakes the requests that wait for it. The response
// is nil if it is too large to keep; it must not be changed afterwards.
func (c *Commands) Finish(id once.ID, outcome fleet.Outcome, r *once.Response) {
	c.Tables.Keys.Write(guard.Held{}, func(_ guard.Held, k *table.Keys) {
		once.Finish(&k.Once, id, outcome, r, k.Limits)
		if finished, running := k.Finished[id]; running {
			close(finished)
			delete(k.Finished, id)
		}
	})
}

// Expire forgets the keys of epochs that are not accepted any more.
func (c *Commands) Expire(now time.Time) {
	c.Tables.Members.Read(guard.Held{}, func(h guard.Held, m *table.Members) {
		epoch := once.Epoch(m.Started, now)
		c.Tables.Keys.Write(h, func(_ guard.Held, k *table.Keys) {
			once.Expire(&k.Once, epoch)
		})
	})
}
