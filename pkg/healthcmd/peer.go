package healthcmd

import (
	"time"

	"egretline.example/egretline/pkg/decide/detect"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// ObservePeerFailure records a failure that another node observed the given time ago. A report about an instance that
// is no longer at the address is ignored.
func (c *Commands) ObservePeerFailure(now time.Time, key table.ServerKey, instance string, age time.Duration) {
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		s, health := findAndTouch(b, key, now)
		if s == nil || s.Server.Instance != instance {
			return
		}
		detect.ObservePeerFailure(&s.State, age, detect.BaselineFor(health.Summary, &s.State, now), health.Settings, now)
	})
}

// ObservePeerRecovery records a recovery that another node observed the given time ago. A report about an instance that
// is no longer at the address is ignored.
func (c *Commands) ObservePeerRecovery(now time.Time, key table.ServerKey, instance string, age time.Duration) {
	c.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		s, _ := findAndTouch(b, key, now)
		if s == nil || s.Server.Instance != instance {
			return
		}
		detect.ObservePeerRecovery(&s.State, age, now)
	})
}
