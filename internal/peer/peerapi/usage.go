package peerapi

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
)

// Bounds of the section about customers, which may come from a faulty sender.
const (
	// MaxCustomers is the number of customers in one report. A report with all of them is smaller than the largest message.
	MaxCustomers = 4000
	// MaxCustomerNameBytes is the length of a name; a report with a longer one is rejected.
	MaxCustomerNameBytes = 128
	maxUsed              = 1e15
)

// CustomerUsage is the section of a report about the quotas of customers. It mentions those whose use has changed since the
// newest report that the receiver has confirmed.
type CustomerUsage struct {
	// Partial is set if customers are missing because there are more than MaxCustomers.
	Partial   bool            `json:"partial,omitempty"`
	Customers []CustomerTotal `json:"totals,omitempty"`
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

// Check returns a UsageError if the section is outside its bounds.
func (u *CustomerUsage) Check() error {
	if len(u.Customers) > MaxCustomers {
		return UsageError{Field: "count"}
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
