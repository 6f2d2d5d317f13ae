// Package membercmd changes the Members table, which holds this node's view of the hosts of the fleet.
package membercmd

import (
	"time"

	"egretline.example/egretline/pkg/decide/member"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Commands changes the Members table of one node.
type Commands struct {
	Tables *table.Tables
}

// AdoptHostList applies a host list that was fetched from the platform.
func (c *Commands) AdoptHostList(hosts []fleet.Host, now time.Time) {
	c.Tables.Members.Write(guard.Held{}, func(_ guard.Held, m *table.Members) {
		member.AdoptHostList(&m.View, m.Self.ID, hosts, now)
		for _, h := range hosts {
			if h.ID == m.Self.ID {
				m.Self.Weight = h.Weight
			}
		}
	})
}

// RecordHeartbeat records a heartbeat from another host. A heartbeat that carries this node's own ID is ignored.
func (c *Commands) RecordHeartbeat(b member.Heartbeat, now time.Time) member.Verdict {
	verdict := member.Superseded
	c.Tables.Members.Write(guard.Held{}, func(_ guard.Held, m *table.Members) {
		if b.Host.ID == m.Self.ID {
			return
		}
		verdict = member.AdoptHeartbeat(&m.View, b, now)
	})
	return verdict
}

// ObserveContact records whether the host responded to a message.
func (c *Commands) ObserveContact(id string, succeeded bool, now time.Time) {
	c.Tables.Members.Write(guard.Held{}, func(_ guard.Held, m *table.Members) {
		member.RecordContact(&m.View, id, succeeded, now)
	})
}

// Tick records that this process is running, and reports whether it was paused since the last Tick.
func (c *Commands) Tick(now time.Time) bool {
	var paused bool
	c.Tables.Members.Write(guard.Held{}, func(_ guard.Held, m *table.Members) {
		paused = member.Tick(&m.View, now)
	})
	return paused
}

// SetLeaving marks this node as leaving. The mark lasts until the process ends.
func (c *Commands) SetLeaving() {
	c.Tables.Members.Write(guard.Held{}, func(_ guard.Held, m *table.Members) {
		m.Self.Leaving = true
	})
}
