package entrynode

import (
	"bytes"
	"fmt"

	"egretline.example/egretline/pkg/dispatchquery"
)

// writePlacing writes how the node fills the servers of each service, and what waits for the retry budget.
func writePlacing(b *bytes.Buffer, q *dispatchquery.Queries) {
	for _, s := range q.Placing() {
		labels := fmt.Sprintf("{service=%q}", s.Service)
		fmt.Fprintf(b, "retry-waiting%s %d\n", labels, s.Waiting)
		fmt.Fprintf(b, "retry-balance%s %.1f\n", labels, s.RetryBalance)
		fmt.Fprintf(b, "turned-away-fraction%s %.3f\n", labels, s.TurnedAway)
		fmt.Fprintf(b, "turned-away-at-random%s %t\n", labels, s.Random)
		fmt.Fprintf(b, "borrowed-share%s %.2f\n", labels, s.ExtraShare)
	}
}
