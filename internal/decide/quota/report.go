package quota

import "time"

// MaxSilence is the time between two reports of a host above which it was out of touch. What it accepted meanwhile was
// set aside for it, and does not become a debt.
const MaxSilence = time.Second

// maxLateness is the time after which no report of an ended process arrives any more.
const maxLateness = 10 * time.Second

// Usage is what a host reports about a customer.
type Usage struct {
	// Incarnation identifies the run of the host's process, and Since the bucket in that run.
	Incarnation int64
	Since       uint64
	// Used is the number of requests that the host has accepted, less those given back.
	Used float64
	// Level is the level of the host's bucket.
	Level float64
}

// Host is what a host knows of the reports of another one.
type Host struct {
	// Incarnation and Sequence identify the newest report, which was received at HeardAt.
	Incarnation int64
	Sequence    uint64
	HeardAt     time.Time
	// ConfirmedAt is the time of the last report that mentioned all customers whose use had changed.
	ConfirmedAt time.Time
	// Delivered is the newest report that the other host has received from this one, and SentAt when one was last sent.
	Delivered uint64
	SentAt    time.Time
	// Part is the fraction of each limit that the host last reported as its part; zero if it is not known.
	Part float64
	// Entry reports whether the host last reported that it is an entry host, and Decides whether it accepts requests.
	Entry   bool
	Decides bool
	// Shared reports whether the host is in touch with one that this host does not hear. Silent holds the hosts that it has
	// reported as silent, and since when.
	Shared bool
	Silent map[string]time.Time
	// CountsSelf reports whether the host has last confirmed that it counts this one among the hosts that may accept
	// requests. Counted reports whether this host has confirmed it to that host, which may accept requests since.
	CountsSelf bool
	Counted    bool
	// DecidedAt is when the host was last known to accept requests, by its own report or that of another host.
	DecidedAt time.Time
	// PresumedPart is the part that the host had by the number of entry hosts when it was last one.
	PresumedPart float64
	// EntrySince and EntryUntil are the time for which the host was last an entry host, and LeavingSince is when it was first
	// seen leaving; zero if it is not.
	EntrySince   time.Time
	EntryUntil   time.Time
	LeavingSince time.Time
}

// Arrival is the place of a report in the order of the reports of its sender.
type Arrival struct {
	// First is set for the first report from the host, and Restarted for the first one of a new run of its process.
	First     bool
	Restarted bool
	// LastSequence is the sequence number of the report before, and Silence the time since.
	LastSequence uint64
	Silence      time.Duration
}

// Hear records a report. It returns false for a late or repeated one, which is ignored. A lower incarnation is accepted after
// maxLateness without reports: the time of day was set back, and the process has restarted since.
func (h *Host) Hear(now time.Time, incarnation int64, sequence uint64) (Arrival, bool) {
	if incarnation < h.Incarnation && now.Sub(h.HeardAt) <= maxLateness || incarnation == h.Incarnation && sequence <= h.Sequence {
		return Arrival{}, false
	}
	a := Arrival{
		First: h.HeardAt.IsZero(), Restarted: incarnation != h.Incarnation, LastSequence: h.Sequence,
		Silence: now.Sub(h.HeardAt),
	}
	if a.Restarted {
		// The new process has lost what it was told.
		a.LastSequence, h.Delivered = 0, 0
	}
	h.Incarnation, h.Sequence, h.HeardAt = incarnation, sequence, now
	return a, true
}

// Confirm replaces what was assumed about a host by its report, in which the host mentioned all customers whose use has
// changed. What a previous run of the process accepted after its last report is not known, and stays charged.
func (b *Bucket) Confirm(now time.Time, id string, a Arrival, s Spenders) {
	assumed, known := b.Assumed[id]
	if !known || s.setsAside(id) {
		return
	}
	b.Settle(now)
	delete(b.Assumed, id)
	if !a.Restarted {
		b.Level += assumed.Tokens
	}
}

// ConfirmAll replaces what was assumed about hosts that have reported since and did not mention the customer. Buckets are
// brought up to date when they are used, because a report would otherwise touch the buckets of all customers.
func (b *Bucket) ConfirmAll(now time.Time, m *Membership, s Spenders, t Tolerance) {
	changed := false
	for id, a := range b.Assumed {
		if h := m.Hosts[id]; h != nil && !h.ConfirmedAt.Before(a.Since) {
			b.Confirm(now, id, Arrival{}, s)
			changed = true
		}
	}
	if changed {
		b.Bound(t, Arrival{})
	}
}

// ForgetUnknown takes back what was assumed about hosts whose IDs were not known. Their own reports replace it.
func (b *Bucket) ForgetUnknown(now time.Time, t Tolerance) {
	b.Confirm(now, "", Arrival{}, Spenders{})
	b.Bound(t, Arrival{})
}

// Charge charges what the host accepted since its last report, and what has to be set aside from it for silent hosts. It must
// follow Confirm, and be followed by Bound.
func (b *Bucket) Charge(now time.Time, id string, u Usage, a Arrival, s Spenders) {
	b.Settle(now)
	last, known := b.Reported[id]
	b.Reported[id] = u
	accepted := u.Used
	switch {
	case known && last.Incarnation == u.Incarnation && last.Since == u.Since:
		accepted -= last.Used
	case !a.First && (a.Restarted || u.Since > a.LastSequence):
	default:
		// The report covers a time of which this host knows nothing.
		b.Level = min(b.Level, u.Level)
		return
	}
	if s.setsAside(id) {
		// The part of the host stays set aside although its reports arrive.
		b.Skipped[id] += accepted
		return
	}
	b.Level -= accepted + b.Skipped[id]
	delete(b.Skipped, id)
	if a.Silence <= MaxSilence {
		b.setAside(now, accepted, s)
	}
}

// setAside charges the parts of silent hosts for requests that a host in touch has accepted. The number is negative for
// requests that were given back there.
func (b *Bucket) setAside(now time.Time, requests float64, s Spenders) {
	available := s.Available()
	for _, p := range s.Silent {
		a, known := b.Assumed[p.ID]
		if !known {
			a.Since = now
		}
		tokens := max(requests*p.Fraction/available, -a.Tokens)
		a.Tokens += tokens
		b.Assumed[p.ID] = a
		b.Level -= tokens
	}
}

// Bound keeps the level between the largest debt and the burst. Overuse by hosts in touch remains a debt, which keeps the
// rate exact in the long run.
func (b *Bucket) Bound(t Tolerance, a Arrival) {
	lowest := -t.Allowance(b.Quota)
	if a.Silence <= MaxSilence {
		lowest -= float64(b.Quota.Burst)
	}
	b.Level = min(max(b.Level, lowest), float64(b.Quota.Burst))
	b.dropLowerPeaks(b.Level)
}
