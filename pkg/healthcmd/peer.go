package healthcmd

import (
	"time"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// ObservePeerFailure records a failure that another node saw some time ago. A report about another instance than the one
// that is known at the address says nothing.
func (c *Commands) ObservePeerFailure(now time.Time, key table.ServerKey, instance string, age time.Duration) {
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		s, health := touch(b, key, now)
		if s == nil || s.Server.Instance != instance {
			return
		}
		detect.ObservePeerFailure(&s.State, age, detect.Rest(health.Summary, &s.State, now), health.Settings, now)
	})
}

// ObservePeerRecovery records that another node found a server to have recovered some time ago. A report about another
// instance than the one that is known at the address says nothing.
func (c *Commands) ObservePeerRecovery(now time.Time, key table.ServerKey, instance string, age time.Duration) {
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		s, _ := touch(b, key, now)
		if s == nil || s.Server.Instance != instance {
			return
		}
		detect.ObservePeerRecovery(&s.State, age, now)
	})
}
