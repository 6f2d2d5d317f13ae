// Package quotacmd counts the requests of customers against their limits for the whole fleet, and exchanges the counts with
// other hosts. It writes the Quotas table and holds no other lock meanwhile.
package quotacmd

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/decide/quota"
	"egretline.example/egretline/internal/peer/peerapi"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

const (
	// calmReportInterval is the time between two reports while no customer is near its limit.
	calmReportInterval = 300 * time.Millisecond
	// bucketSweepInterval is the time between two sweeps of the buckets, of which there may be tens of thousands.
	bucketSweepInterval = time.Second
	// idleDuration is how long the bucket of an inactive customer is kept.
	idleDuration = 30 * time.Second
	// bindingDuration is how long after the last refusal a limit counts as reached.
	bindingDuration = 5 * time.Second
)

// Commands updates the Quotas table of one node.
type Commands struct {
	Tables *table.Tables
	Logger zerolog.Logger
	self   string
}

// Options are the settings of a node.
type Options struct {
	Tolerance quota.Tolerance
	StartedAt time.Time
	// Seeds is the number of other hosts in the settings.
	Seeds int
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool
}

// New returns the commands for one node.
func New(t *table.Tables, o Options, logger zerolog.Logger) *Commands {
	t.Quotas.Write(guard.Held{}, func(_ guard.Held, q *table.Quotas) {
		q.Tolerance = o.Tolerance
		q.Membership.StartedAt, q.Membership.HeardAt, q.Membership.InformedSince = o.StartedAt, o.StartedAt, o.StartedAt
		q.Membership.Seeds, q.Membership.FirstStart = o.Seeds, o.FirstStart
		updateSpenders(q, o.StartedAt)
	})
	var self fleet.Host
	t.Roster.Read(guard.Held{}, func(_ guard.Held, r *table.Roster) { self = r.Self })
	return &Commands{Tables: t, Logger: logger, self: self.ID}
}

// usableTolerance returns the tolerance that this host may use. For some seconds after a restart it is none: if all hosts have
// restarted, none knows what ran before, and others may accept requests that are not known yet.
func usableTolerance(q *table.Quotas, now time.Time) quota.Tolerance {
	if q.Membership.RestartedLately(now) {
		return quota.Tolerance{}
	}
	return q.Tolerance
}

// Adopt takes the limits from the configuration. It drops the state of customers without a limit. That of customers whose
// keys were all taken away is kept, because they would otherwise have a full bucket when they get new keys.
func (c *Commands) Adopt(now time.Time, config *fleet.Configuration) {
	limits, unlimited := map[string]fleet.Quota{}, map[string]bool{}
	for _, t := range config.Tenants {
		unlimited[t.Name] = t.Quota.RequestsPerSecond <= 0
		if t.Quota.RequestsPerSecond > 0 {
			limits[t.Name] = t.Quota
		}
	}
	c.Tables.Quotas.Write(guard.Held{}, func(_ guard.Held, q *table.Quotas) {
		if q.Revision == config.Revision {
			return
		}
		q.Limits, q.Revision = limits, config.Revision
		for name, b := range q.Buckets {
			if unlimited[name] {
				drop(q, name)
			} else if limit, limited := limits[name]; limited {
				b.SetQuota(now, limit, q.Tolerance)
			}
		}
	})
}

// Take counts a request of the customer. The verdict is undecided if other hosts may not count this one.
func (c *Commands) Take(now time.Time, t fleet.Tenant) quota.Verdict {
	var v quota.Verdict
	var began bool
	c.Tables.Quotas.Write(guard.Held{}, func(_ guard.Held, q *table.Quotas) {
		limit, adopted := q.Limits[t.Name]
		if !adopted {
			// The request was identified by a configuration that is not adopted yet, or no longer active. Its limit holds.
			limit = t.Quota
		}
		v, began = take(q, now, t.Name, limit)
	})
	if began {
		c.logBinding(t.Name, t.Quota, v.RetryAfter)
	}
	return v
}

// Grant counts a request that another host has received. The verdict is undecided if this host may not decide or does not
// know the limit.
func (c *Commands) Grant(now time.Time, customer string) quota.Verdict {
	v := quota.Verdict{Undecided: true}
	var limit fleet.Quota
	var began bool
	c.Tables.Quotas.Write(guard.Held{}, func(_ guard.Held, q *table.Quotas) {
		var adopted bool
		if limit, adopted = q.Limits[customer]; adopted {
			v, began = take(q, now, customer, limit)
		}
	})
	if began {
		c.logBinding(customer, limit, v.RetryAfter)
	}
	return v
}

func (c *Commands) logBinding(customer string, limit fleet.Quota, retryAfter time.Duration) {
	c.Logger.Info().Str("customer", customer).Float64("per-second", limit.RequestsPerSecond).Int("burst", limit.Burst).
		Dur("retry-after-ms", retryAfter).Msg("customer has reached its limit; refusing its further requests")
}

// take counts a request, and reports whether it is the first one that the limit refuses.
func take(q *table.Quotas, now time.Time, customer string, limit fleet.Quota) (v quota.Verdict, began bool) {
	if limit.RequestsPerSecond <= 0 {
		return quota.Verdict{Accepted: true}, false
	}
	if !q.MayDecide {
		return quota.Verdict{Undecided: true, RetryAfter: calmReportInterval}, false
	}
	b := bucket(q, now, customer, limit)
	b.ConfirmAll(now, &q.Membership, q.Spenders, q.Tolerance)
	v.RetryAfter, v.Accepted = b.Take(now, q.Spenders, usableTolerance(q, now))
	if v.Accepted {
		markChanged(q, now, customer, b)
	}
	if !v.Accepted && q.Spenders.Minority() {
		return quota.Verdict{Undecided: true, RetryAfter: calmReportInterval}, false
	}
	notePressure(q, now, b, b.Level)
	began = !v.Accepted && !b.Counts.Binding
	b.Counts.Binding = b.Counts.Binding || began
	return v, began
}

// GiveBack uncounts a request that was accepted at the time taken and surely has not run.
func (c *Commands) GiveBack(now time.Time, t fleet.Tenant, taken time.Time) {
	c.Tables.Quotas.Write(guard.Held{}, func(_ guard.Held, q *table.Quotas) {
		if b, known := q.Buckets[t.Name]; known {
			b.ConfirmAll(now, &q.Membership, q.Spenders, q.Tolerance)
			b.GiveBack(now, taken)
			markChanged(q, now, t.Name, b)
		}
	})
}

func bucket(q *table.Quotas, now time.Time, name string, limit fleet.Quota) *quota.Bucket {
	b, known := q.Buckets[name]
	if !known {
		b = quota.NewBucket(limit, q.Tolerance, q.Membership.InitialLevel(now, limit), now, q.Sequence+1)
		b.ActiveAt = now
		q.Buckets[name] = b
	}
	return b
}

// markChanged records that the use of the customer has to be reported.
func markChanged(q *table.Quotas, now time.Time, name string, b *quota.Bucket) {
	b.Changed, b.ActiveAt = q.Sequence+1, now
	q.Unreported[name] = struct{}{}
}

func drop(q *table.Quotas, name string) {
	delete(q.Buckets, name)
	delete(q.Unreported, name)
}

// Report returns the section for the host in the report with the sequence number, or nil if nothing needs to be sent now.
func (c *Commands) Report(now time.Time, id string, sequence uint64) (section *peerapi.CustomerUsage) {
	c.Tables.Quotas.Write(guard.Held{}, func(_ guard.Held, q *table.Quotas) {
		q.Sequence = max(q.Sequence, sequence)
		if h := q.Membership.Host(id); reportDue(q, h, now) {
			h.SentAt = now
			section = usageSection(q, now, id)
		}
	})
	return section
}

// Answer returns the section with which a report of the host is answered, or nil if no customer has a limit. The host may
// not receive it, so that the next report has the same customers.
func (c *Commands) Answer(now time.Time, id string, sequence uint64) (section *peerapi.CustomerUsage) {
	c.Tables.Quotas.Write(guard.Held{}, func(_ guard.Held, q *table.Quotas) {
		q.Sequence = max(q.Sequence, sequence)
		if len(q.Limits) > 0 {
			section = usageSection(q, now, id)
		}
	})
	return section
}

// usageSection returns the section for the host: what this host knows of the hosts that may accept requests, and the
// customers whose use has changed since the newest report that the host has received.
func usageSection(q *table.Quotas, now time.Time, id string) *peerapi.CustomerUsage {
	h := q.Membership.Host(id)
	section := &peerapi.CustomerUsage{
		Entry: q.EntryHost, Decides: q.MayDecide, Counted: q.Membership.Counts(now, id), Part: q.Membership.OwnPart,
		Shared: q.Membership.Reaches(now, h),
	}
	for _, p := range q.Membership.Deciding(now, id, q.Spenders) {
		section.Others = append(section.Others, peerapi.OtherHost{
			ID: p.ID, Part: p.Fraction, AgeMs: q.Membership.SilentFor(now, p.ID).Milliseconds(), Presumed: p.Presumed,
		})
	}
	for name := range q.Unreported {
		b := q.Buckets[name]
		// Receivers would reject the whole report because of a long name. Without reports, hosts have parts of that limit.
		if b.Changed <= h.Delivered || len(name) > peerapi.MaxCustomerNameBytes {
			continue
		}
		if len(section.Customers) == peerapi.MaxCustomers {
			section.Partial = true
			break
		}
		b.ConfirmAll(now, &q.Membership, q.Spenders, q.Tolerance)
		b.Settle(now)
		section.Customers = append(section.Customers, peerapi.CustomerTotal{
			Name: name, Since: b.Since, Used: b.Used, Level: b.Level,
		})
	}
	return section
}

// reportDue reports whether the host has to be told now. Reports are frequent while a customer is near its limit, because
// hosts set parts aside for those that they do not hear.
func reportDue(q *table.Quotas, h *quota.Host, now time.Time) bool {
	if len(q.Limits) == 0 {
		return false
	}
	if now.Sub(q.EntryUntil) > quota.FormerReportDuration {
		// Other hosts set nothing aside for this one.
		for name := range q.Unreported {
			if q.Buckets[name].Changed > h.Delivered {
				return true
			}
		}
		return false
	}
	if now.Sub(h.SentAt) >= calmReportInterval {
		return true
	}
	return now.Before(q.PressedUntil)
}

// notePressure records whether the customer of the bucket is near its limit, given the level that a host counts.
func notePressure(q *table.Quotas, now time.Time, b *quota.Bucket, level float64) {
	if b.Pressed(level, q.Tolerance) {
		q.PressedUntil = now.Add(calmReportInterval)
	}
}

// Delivered records that the host has received the report with the sequence number.
func (c *Commands) Delivered(id string, sequence uint64, section *peerapi.CustomerUsage) {
	if section == nil || section.Partial {
		return
	}
	c.Tables.Quotas.Write(guard.Held{}, func(_ guard.Held, q *table.Quotas) {
		h := q.Membership.Host(id)
		h.Delivered = max(h.Delivered, sequence)
	})
}

// Observe takes the section of a report from another host. Customers without a limit are ignored.
func (c *Commands) Observe(now time.Time, r peerapi.Report) {
	if r.Customers == nil {
		return
	}
	if err := r.Customers.Check(); err != nil {
		c.Logger.Warn().Err(err).Str("peer", r.From.ID).Msg("ignoring counts of customers from peer: they are invalid")
		return
	}
	c.Tables.Quotas.Write(guard.Held{}, func(_ guard.Held, q *table.Quotas) {
		arrival, accepted := q.Membership.Hear(now, r.From.ID, r.Incarnation, r.Sequence)
		if !accepted {
			return
		}
		c.observeHost(q, now, r, arrival)
		for _, t := range r.Customers.Customers {
			b, known := q.Buckets[t.Name]
			if limit, limited := q.Limits[t.Name]; !known && limited {
				b = bucket(q, now, t.Name, limit)
			} else if !known {
				continue
			}
			b.ActiveAt = now
			b.Confirm(now, r.From.ID, arrival, q.Spenders)
			u := quota.Usage{Incarnation: r.Incarnation, Since: t.Since, Used: t.Used, Level: t.Level}
			b.Charge(now, r.From.ID, u, arrival, q.Spenders)
			b.Bound(q.Tolerance, arrival)
			notePressure(q, now, b, min(b.Level, t.Level))
		}
		if arrival.Restarted {
			forgetHost(q, now, r.From.ID, arrival)
		}
		if !r.Customers.Partial {
			q.Membership.Host(r.From.ID).ConfirmedAt = now
		}
	})
}

// observeHost takes what the sender of a report says about itself and about other hosts.
func (c *Commands) observeHost(q *table.Quotas, now time.Time, r peerapi.Report, a quota.Arrival) {
	h := q.Membership.Host(r.From.ID)
	if r.From.Leaving && h.LeavingSince.IsZero() {
		h.LeavingSince = now
	}
	changed := h.CountsSelf != r.Customers.Counted || h.Decides != r.Customers.Decides || h.Shared != r.Customers.Shared
	h.Part, h.CountsSelf = r.Customers.Part, r.Customers.Counted
	h.Entry, h.Decides, h.Shared = r.Customers.Entry, r.Customers.Decides, r.Customers.Shared
	if h.Counted = h.Counted && h.Decides; h.Decides {
		h.DecidedAt = now
	}
	silent, named := make(map[string]time.Time, len(r.Customers.Others)), map[string]time.Time{}
	for _, o := range r.Customers.Others {
		age := time.Duration(o.AgeMs) * time.Millisecond
		if o.ID == c.self || o.Presumed && q.MayDecide {
			continue
		}
		named[o.ID] = now
		q.Membership.Relay(now, quota.Part{ID: o.ID, Fraction: o.Part, Presumed: o.Presumed}, age)
		if age <= quota.MaxSilence || o.Presumed {
			continue
		}
		silent[o.ID] = now
		if since, known := h.Silent[o.ID]; known {
			silent[o.ID] = since
		}
	}
	h.Silent = silent
	if h.Decides && !q.MayDecide {
		q.Membership.DropPresumed(named)
	}
	if changed || !q.MayDecide || a.Restarted || a.Silence > quota.MaxSilence {
		updateSpenders(q, now)
	}
}

// SetGone records that the process of the host has ended.
func (c *Commands) SetGone(id string) {
	c.Tables.Quotas.Write(guard.Held{}, func(_ guard.Held, q *table.Quotas) { q.Membership.SetGone(id, q.EntryHost) })
}

// forgetHost prepares the buckets for a host whose process has restarted, or of which nothing was known: it has to be told
// of all customers, and what a process before it accepted stays charged.
func forgetHost(q *table.Quotas, now time.Time, id string, a quota.Arrival) {
	for name, b := range q.Buckets {
		b.Confirm(now, id, a, q.Spenders)
		if b.Changed > 0 {
			q.Unreported[name] = struct{}{}
		}
	}
}

// Sweep updates the hosts that may accept requests, and drops the buckets of inactive customers. Only entry hosts report
// that they hear no others, because the others are told nothing.
func (c *Commands) Sweep(now time.Time, otherEntryHosts []fleet.Host, entryHost bool) {
	ids := make([]string, len(otherEntryHosts))
	for i, h := range otherEntryHosts {
		ids[i] = h.ID
	}
	var ended []string
	var isolationChanged, isolated, decided, decides bool
	var spenders quota.Spenders
	var silent int
	c.Tables.Quotas.Write(guard.Held{}, func(_ guard.Held, q *table.Quotas) {
		if entryHost && !q.EntryHost {
			q.Membership.BecomeEntryHost(now)
		}
		if q.EntryHost = entryHost; entryHost {
			q.EntryUntil = now
		}
		q.Membership.SeeEntryHosts(now, ids)
		decided, silent = q.Decided, len(q.Spenders.Silent)
		updateSpenders(q, now)
		decides, spenders = q.MayDecide, q.Spenders
		q.Decided = decides
		dropReported(q)
		if now.Sub(q.SweptAt) >= bucketSweepInterval {
			q.SweptAt = now
			ended = sweepBuckets(q, now)
		}
		isolated = entryHost && len(q.Limits) > 0 && q.Membership.Isolated(now)
		isolationChanged = isolated != q.Isolated
		q.Isolated = isolated
	})
	for _, name := range ended {
		c.Logger.Info().Str("customer", name).Msg("customer is below its limit again")
	}
	if decides != decided || len(spenders.Silent) != silent {
		c.Logger.Info().Bool("decides", decides).Bool("entry-host", entryHost).Strs("in-touch", spenders.Hosts).
			Any("silent", spenders.Silent).Float64("available", spenders.Available()).
			Msg("hosts that decide on limits of customers have changed")
	}
	switch {
	case isolationChanged && isolated:
		c.Logger.Warn().Msg("hearing no other entry host; accepting only this host's part of each customer's limit")
	case isolationChanged:
		c.Logger.Info().Msg("hearing other entry hosts again; sharing the limits of customers with them")
	}
}

// updateSpenders updates the hosts that may accept requests, and whether this host is one of them.
func updateSpenders(q *table.Quotas, now time.Time) {
	before := q.Spenders.Unknown
	q.Spenders = q.Membership.Spenders(now)
	q.MayDecide = q.Membership.MayDecide(now, q.EntryHost, q.Spenders)
	q.Membership.Decides, q.Membership.OwnPart = q.MayDecide, 0
	if q.MayDecide {
		q.Membership.OwnPart = q.Spenders.OwnPart()
	}
	if q.Spenders.Unknown >= before {
		return
	}
	for _, b := range q.Buckets {
		b.ForgetUnknown(now, q.Tolerance)
	}
}

// dropReported forgets which customers have changed once all hosts that may be told were told. Hosts that are cut off have
// to be told later.
func dropReported(q *table.Quotas) {
	delivered := q.Sequence
	for _, h := range q.Membership.Hosts {
		if !h.EntryUntil.IsZero() {
			delivered = min(delivered, h.Delivered)
		}
	}
	for name := range q.Unreported {
		if q.Buckets[name].Changed <= delivered {
			delete(q.Unreported, name)
		}
	}
}

// sweepBuckets drops the buckets of inactive customers, and returns the names of the customers that are below their limits
// again.
func sweepBuckets(q *table.Quotas, now time.Time) (ended []string) {
	for name, b := range q.Buckets {
		b.ConfirmAll(now, &q.Membership, q.Spenders, q.Tolerance)
		b.Settle(now)
		if b.Counts.Binding && now.Sub(b.Counts.LastRefused) > bindingDuration {
			b.Counts.Binding = false
			ended = append(ended, name)
		}
		if b.Idle() && now.Sub(b.ActiveAt) > idleDuration {
			drop(q, name)
		}
	}
	slices.Sort(ended)
	return ended
}
