package entrynode

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/customer/quotacmd"
	"egretline.example/egretline/internal/customer/quotaquery"
	"egretline.example/egretline/pkg/table"
)

// maxQuotaSeries bounds the customers in the metrics.
const maxQuotaSeries = 100

// newQuotas returns the commands for the limits of customers.
func newQuotas(t *table.Tables, o Options, started time.Time, logger zerolog.Logger) *quotacmd.Commands {
	seeds := slices.DeleteFunc(slices.Clone(o.Seeds), func(address string) bool { return address == o.Self.PeerAddress })
	return quotacmd.New(t, quotacmd.Options{
		Tolerance: o.QuotaTolerance, StartedAt: started, Seeds: len(seeds), FirstStart: o.FirstStart,
	}, logger)
}

// metricOf returns 1 if the condition holds, and 0 otherwise.
func metricOf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

// writeQuotas writes the state of the customers' limits. It writes nothing if no customer has a limit.
func writeQuotas(b *bytes.Buffer, now time.Time, q *quotaquery.Queries) {
	s := q.State(now, maxQuotaSeries)
	if s.Limited == 0 {
		return
	}
	fmt.Fprintf(b, "quota-customers{state=\"limited\"} %d\nquota-customers{state=\"active\"} %d\n", s.Limited, s.Active)
	fmt.Fprintf(b, "quota-hosts %d\n", s.Spenders)
	fmt.Fprintf(b, "quota-isolated %d\nquota-decides %d\n", metricOf(s.Isolated), metricOf(s.Decides))
	fmt.Fprintf(b, "quota-available %.3f\n", s.Available)
	for _, c := range s.Customers {
		labels := fmt.Sprintf("{customer=%q}", c.Name)
		fmt.Fprintf(b, "quota-taken%s %d\n", labels, c.Counts.Taken)
		fmt.Fprintf(b, "quota-refused%s %d\n", labels, c.Counts.Refused)
		fmt.Fprintf(b, "quota-returned%s %.0f\n", labels, c.Counts.Returned)
		fmt.Fprintf(b, "quota-level%s %.1f\n", labels, c.Level)
		fmt.Fprintf(b, "quota-spendable%s %d\n", labels, c.Spendable)
	}
}
