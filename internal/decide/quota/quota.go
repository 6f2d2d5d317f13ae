// Package quota decides whether a request is within the limit that its customer has at all hosts together. It answers the
// load of one customer that sends far more than its limit through several hosts at once, some of which may be out of touch.
//
// Each host has one token bucket for the whole fleet per customer. A request that the host accepts is charged once for
// itself and once for each other host that may accept requests, as if that host had accepted one as well. A report from
// that host replaces the assumption by what the host really accepted. Hosts in touch therefore share one bucket. From all
// that they accept they set aside the parts of the hosts that they are out of touch with, so that those are left with the
// parts that they had when they were last heard, whoever is cut off from whom. A host accepts requests only after the hosts
// that it hears have confirmed that they count it.
package quota

import (
	"slices"
	"time"

	"egretline.example/egretline/pkg/fleet"
)

const (
	// usedOver and usedSlack are the fractions of the tolerance that are added to the limits. They keep hosts from refusing
	// requests of small customers between two reports. The rest covers what hosts accept before they hear of each other, and a
	// restart of all hosts, which lose the debts of the buckets: that costs large customers' limits the most.
	usedOver  = 0.3
	usedSlack = 0.5
	// maxRetryAfter bounds the delay until a refused request will be accepted.
	maxRetryAfter = 10 * time.Second
	// maxPeaks bounds the peaks that a bucket records.
	maxPeaks = 16
)

// Tolerance is how far the requests of a customer may exceed its limit: in any window by the fraction Over of what the limit
// allows in it, and by Slack requests.
type Tolerance struct {
	Over  float64
	Slack float64
}

// Allowance returns the number of requests by which buckets may be overdrawn.
func (t Tolerance) Allowance(q fleet.Quota) float64 {
	return usedOver*t.Over*float64(q.Burst) + usedSlack*t.Slack
}

// Rate returns the tokens that are added to a bucket per second.
func (t Tolerance) Rate(q fleet.Quota) float64 {
	return q.RequestsPerSecond * (1 + usedOver*t.Over)
}

// Spenders are the other hosts that may accept requests of customers.
type Spenders struct {
	// Hosts holds the IDs of those that are in touch, or were never heard.
	Hosts []string
	// Silent holds those that were in touch and are not any more, and those whose parts another side of a partition may use.
	Silent []Part
	// Unknown is the number of further hosts whose IDs are not known.
	Unknown int
	// Own is the part that the others set aside for this host, zero if they may not.
	Own float64
}

// Part is the fraction of each limit that a host may use while it is out of touch with all others.
type Part struct {
	ID       string
	Fraction float64
	// Presumed is set if it is not known whether the host accepts requests.
	Presumed bool
}

// Count returns the number of hosts that may accept requests, including the host itself.
func (s Spenders) Count() int { return 1 + len(s.Hosts) + len(s.Silent) + s.Unknown }

// setsAside reports whether the part of the host is set aside.
func (s Spenders) setsAside(id string) bool {
	return slices.ContainsFunc(s.Silent, func(p Part) bool { return p.ID == id })
}

// Available returns the fraction of each limit that the parts of silent hosts leave to the others.
func (s Spenders) Available() float64 {
	// Parts that were reported at different times can add up to more than the limit.
	return min(1, max(s.remaining(), s.Own, 1/float64(unreservedFactor*s.Count())))
}

// remaining returns the same without a lower bound.
func (s Spenders) remaining() float64 {
	fraction := 1.0
	for _, p := range s.Silent {
		fraction -= p.Fraction
	}
	return fraction
}

// OwnPart returns the part of this host: an equal one among the hosts in touch.
func (s Spenders) OwnPart() float64 {
	return s.Available() / float64(1+len(s.Hosts)+s.Unknown)
}

// Minority reports whether the hosts in touch have less than half of each limit. Callers are served better by other hosts then.
func (s Spenders) Minority() bool { return s.Available() < 0.5 }

// Charge returns the tokens that one request of this host costs until other hosts report.
func (s Spenders) Charge() float64 {
	return float64(len(s.Hosts)+s.Unknown) + 1/s.Available()
}

// Verdict is the decision on a request.
type Verdict struct {
	Accepted bool
	// Undecided is set if this host may not decide, because others do not count it, or if it has used up its part of the
	// limit and does not know whether others have used theirs.
	Undecided bool
	// Remote is set if another host accepted the request, which cannot be given back.
	Remote bool
	// RetryAfter is the delay after which a refused request will be accepted.
	RetryAfter time.Duration
}

// Bucket is the token bucket of one customer as one host sees it.
type Bucket struct {
	Quota fleet.Quota
	// Rate is the number of tokens added per second.
	Rate float64
	// Level is the number of tokens at the time At. It is negative while the bucket is overdrawn.
	Level float64
	At    time.Time
	// Used is the number of requests that this host has accepted, less those given back.
	Used float64
	// Since is the sequence number of the first report that can mention the bucket, and Changed that of the first report
	// with the current value of Used.
	Since   uint64
	Changed uint64
	// Assumed holds what was charged for other hosts since their last reports, by host ID.
	Assumed map[string]Assumption
	// Reported holds what other hosts last reported, by host ID.
	Reported map[string]Usage
	// Skipped holds what other hosts reported while their parts were set aside, by host ID.
	Skipped map[string]float64
	// Peaks holds the levels right before requests were accepted, in order of time. Levels that a later one exceeded are
	// left out.
	Peaks []Peak
	// ActiveAt is when the bucket was last charged.
	ActiveAt time.Time
	// Promised is the time at which the last of the refused requests will be accepted.
	Promised time.Time
	Counts   Counts
}

// Assumption is what was charged for another host.
type Assumption struct {
	Tokens float64
	Since  time.Time
	// Each is what the last request of this host added.
	Each float64
}

// Peak is a level of a bucket right before a request was accepted.
type Peak struct {
	At    time.Time
	Level float64
}

// Counts are the requests of a customer at this host, for the operator.
type Counts struct {
	Taken    int64
	Refused  int64
	Returned float64
	// LastRefused is the time of the last refusal.
	LastRefused time.Time
	// Binding reports whether the limit was reached lately.
	Binding bool
}

// NewBucket returns a bucket with the given level, which is reduced to the burst.
func NewBucket(q fleet.Quota, t Tolerance, level float64, now time.Time, since uint64) *Bucket {
	return &Bucket{
		Quota: q, Rate: t.Rate(q), Level: min(level, float64(q.Burst)), At: now, Since: since,
		Assumed: map[string]Assumption{}, Reported: map[string]Usage{}, Skipped: map[string]float64{},
	}
}

// Settle adds the tokens that are due at the time.
func (b *Bucket) Settle(now time.Time) {
	if elapsed := now.Sub(b.At); elapsed > 0 {
		b.Level = min(b.Level+elapsed.Seconds()*b.Rate, float64(b.Quota.Burst))
		b.At = now
	}
}

// SetQuota changes the limit. A lower one takes effect at once, and debts that it could not have caused are waived.
func (b *Bucket) SetQuota(now time.Time, q fleet.Quota, t Tolerance) {
	if q == b.Quota {
		return
	}
	b.Settle(now)
	b.Quota, b.Rate = q, t.Rate(q)
	b.Level = min(max(b.Level, -t.Allowance(q)), float64(q.Burst))
	b.Promised = time.Time{}
	clear(b.Assumed)
	b.Peaks = append(b.Peaks[:0], Peak{At: now, Level: float64(q.Burst)})
}

// Take charges one request. If the limit is reached, it returns the delay after which a request will be accepted, and
// false.
func (b *Bucket) Take(now time.Time, s Spenders, t Tolerance) (retryAfter time.Duration, ok bool) {
	b.Settle(now)
	b.Rate = t.Rate(b.Quota)
	charge := s.Charge()
	// A full bucket accepts a request even if it holds fewer tokens than there are hosts.
	required := min(float64(b.Quota.Burst), charge-t.Allowance(b.Quota))
	if b.Level < required {
		b.Counts.Refused++
		b.Counts.LastRefused = now
		return b.promise(now, (required-b.Level)/b.Rate, charge), false
	}
	b.recordPeak(now)
	b.Level -= charge
	b.Used++
	b.Counts.Taken++
	for _, id := range s.Hosts {
		b.assume(id, 1, now)
	}
	if s.Unknown > 0 {
		b.assume("", float64(s.Unknown), now)
	}
	available := s.Available()
	for _, p := range s.Silent {
		b.assume(p.ID, p.Fraction/available, now)
	}
	return 0, true
}

// promise returns the delay for a refused request. Later requests get later times, at the rate that is left to this host
// while all hosts refuse, because callers that all return at the same time would be refused again.
func (b *Bucket) promise(now time.Time, wait, charge float64) time.Duration {
	earliest := now.Add(seconds(wait))
	if next := b.Promised.Add(seconds(charge / b.Rate)); !b.Promised.IsZero() && next.After(earliest) {
		earliest = next
	}
	if latest := now.Add(max(maxRetryAfter, seconds(wait))); earliest.After(latest) {
		earliest = latest
	}
	b.Promised = earliest
	// The delay is sent in milliseconds and must not be rounded down.
	return earliest.Sub(now).Truncate(time.Millisecond) + time.Millisecond
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// GiveBack uncharges a request that was accepted at the time taken, as if it had never been. A bucket that has been full
// meanwhile would be full without the request as well, and gets no token.
func (b *Bucket) GiveBack(now, taken time.Time) {
	b.Settle(now)
	highest := b.Level
	for _, p := range b.Peaks {
		if p.At.After(taken) {
			highest = max(highest, p.Level)
		}
	}
	charge := 1.0
	for _, a := range b.Assumed {
		if !a.Since.After(taken) {
			charge += min(a.Each, a.Tokens)
		}
	}
	back := min(charge, float64(b.Quota.Burst)-highest)
	if back <= 0 {
		return
	}
	b.Level += back
	b.raisePeaks(taken, back)
	fraction := back / charge
	b.Used = max(0, b.Used-fraction)
	b.Counts.Returned += fraction
	for id, a := range b.Assumed {
		if !a.Since.After(taken) {
			a.Tokens -= fraction * min(a.Each, a.Tokens)
			b.Assumed[id] = a
		}
	}
}

func (b *Bucket) assume(id string, tokens float64, now time.Time) {
	a, known := b.Assumed[id]
	if !known {
		a.Since = now
	}
	a.Tokens += tokens
	a.Each = tokens
	b.Assumed[id] = a
}

// recordPeak records the level before a request is charged. The oldest peaks are merged into a later one, which gives
// back less.
func (b *Bucket) recordPeak(now time.Time) {
	b.dropLowerPeaks(b.Level)
	if len(b.Peaks) == maxPeaks {
		b.Peaks[1].Level = b.Peaks[0].Level
		b.Peaks = slices.Delete(b.Peaks, 0, 1)
	}
	b.Peaks = append(b.Peaks, Peak{At: now, Level: b.Level})
}

func (b *Bucket) dropLowerPeaks(level float64) {
	for len(b.Peaks) > 0 && b.Peaks[len(b.Peaks)-1].Level <= level {
		b.Peaks = b.Peaks[:len(b.Peaks)-1]
	}
}

// raisePeaks raises the peaks after the time, as if the tokens had been there since then.
func (b *Bucket) raisePeaks(after time.Time, tokens float64) {
	for i := range b.Peaks {
		if b.Peaks[i].At.After(after) {
			b.Peaks[i].Level = min(b.Peaks[i].Level+tokens, float64(b.Quota.Burst))
		}
	}
}

// Idle reports whether the bucket is as a new one would be.
func (b *Bucket) Idle() bool {
	return b.Level >= float64(b.Quota.Burst)
}

// Pressed reports whether hosts need to hear of each other soon, because a host has used a sixth of the tokens. The level is
// that of this host's bucket or of another one's.
func (b *Bucket) Pressed(level float64, t Tolerance) bool {
	allowance := t.Allowance(b.Quota)
	return level+allowance < (float64(b.Quota.Burst)+allowance)*5/6
}
