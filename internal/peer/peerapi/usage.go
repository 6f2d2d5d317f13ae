package peerapi

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
)

// Bounds of the section about customers, which may come from a faulty sender.
const (
	// MaxCustomers is the number of customers in one report. A report with all of them is smaller than the largest message.
	MaxCustomers = 4000
	// MaxCustomerNameBytes is the length of a name; a report with a longer one is rejected.
	MaxCustomerNameBytes = 128
	maxUsed              = 1e15
	// maxOtherHosts bounds the list of other hosts.
	maxOtherHosts = 1000
)

// CustomerUsage is the section of a report about the quotas of customers. It mentions those whose use has changed since the
// newest report that the receiver has confirmed.
type CustomerUsage struct {
	// Partial is set if customers are missing because there are more than MaxCustomers.
	Partial   bool            `json:"partial,omitempty"`
	Customers []CustomerTotal `json:"totals,omitempty"`
	// Entry is set if the sender is an entry host by its own selection, and Decides if it accepts requests. Receivers need not
	// set its part aside otherwise.
	Entry   bool `json:"entry,omitempty"`
	Decides bool `json:"decides,omitempty"`
	// Counted is set if the sender counts the receiver among the hosts that may accept requests.
	Counted bool `json:"counted,omitempty"`
	// Shared is set if the sender is in touch with a host that the receiver does not hear. Both may not use its part then.
	Shared bool `json:"shared,omitempty"`
	// Part is the fraction of each limit that the sender may use while it is out of touch with all others.
	Part float64 `json:"part,omitempty"`
	// Others lists further hosts that accept requests: those with which the sender is out of touch, and all of them in a report
	// to a host that does not accept requests yet.
	Others []OtherHost `json:"others,omitempty"`
}

// OtherHost is a host that accepts requests.
type OtherHost struct {
	ID string `json:"id"`
	// Part is the fraction of each limit that the host may use while it is out of touch with all others.
	Part float64 `json:"part"`
	// AgeMs is the time since the host was last known to accept requests, in milliseconds.
	AgeMs int64 `json:"age-ms"`
	// Presumed is set if the sender does not know whether the host accepts requests.
	Presumed bool `json:"presumed,omitempty"`
}

// GrantRequest asks another entry host to accept a request of a customer in place of the sender.
type GrantRequest struct {
	From     Host   `json:"from"`
	Customer string `json:"customer"`
}

// GrantResponse is the decision of that host. RetryAfterMs is the delay after which a refused request will be accepted.
type GrantResponse struct {
	Accepted bool `json:"accepted"`
	// Undecided is set if the host may not decide either.
	Undecided    bool  `json:"undecided,omitempty"`
	RetryAfterMs int64 `json:"retry-after-ms,omitempty"`
}

// CustomerTotal is what the sender has accepted of a customer's requests since its report Since. Totals supersede each
// other, so that reports may be lost or repeated. It is encoded as an array, because a report holds many.
type CustomerTotal struct {
	Name  string
	Since uint64
	Used  float64
	// Level is the number of tokens that the sender counts.
	Level float64
}

// UsageError reports an invalid field of a CustomerTotal.
type UsageError struct {
	Field string
}

func (e UsageError) Error() string {
	return fmt.Sprintf("customer in a report has an invalid %s", e.Field)
}

// MarshalJSON implements json.Marshaler.
func (c CustomerTotal) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{c.Name, c.Since, c.Used, c.Level})
}

// UnmarshalJSON implements json.Unmarshaler. It returns UsageError for an array of another length.
func (c *CustomerTotal) UnmarshalJSON(data []byte) error {
	var fields []json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return eris.Wrap(err, "decode customer")
	}
	targets := []any{&c.Name, &c.Since, &c.Used, &c.Level}
	if len(fields) != len(targets) {
		return UsageError{Field: "number of fields"}
	}
	for i, target := range targets {
		if err := json.Unmarshal(fields[i], target); err != nil {
			return eris.Wrap(err, "decode field of customer")
		}
	}
	return nil
}

func (h OtherHost) isInvalid() bool {
	return h.ID == "" || len(h.ID) > maxHostIDBytes || !isFraction(h.Part) || h.AgeMs < 0
}

func isFraction(v float64) bool { return v >= 0 && v <= 1 }

// Check returns a UsageError if the section is outside its bounds.
func (u *CustomerUsage) Check() error {
	if len(u.Customers) > MaxCustomers {
		return UsageError{Field: "count"}
	}
	if !isFraction(u.Part) {
		return UsageError{Field: "part"}
	}
	if len(u.Others) > maxOtherHosts || slices.ContainsFunc(u.Others, OtherHost.isInvalid) {
		return UsageError{Field: "other host"}
	}
	for _, c := range u.Customers {
		switch {
		case c.Name == "" || len(c.Name) > MaxCustomerNameBytes:
			return UsageError{Field: "name"}
		case c.Used < 0 || c.Used > maxUsed:
			return UsageError{Field: "total"}
		case c.Level < -maxUsed || c.Level > maxUsed:
			return UsageError{Field: "level"}
		}
	}
	return nil
}
