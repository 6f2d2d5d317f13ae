package entrynode

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"egretline.example/egretline/internal/customer/quotaquery"
	"egretline.example/egretline/internal/transfer/transferquery"
	"egretline.example/egretline/internal/zone/zonequery"
	"egretline.example/egretline/pkg/dispatchquery"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
	"egretline.example/egretline/pkg/trafficquery"
)

// Metrics returns a handler that serves counters and latency quantiles as text, one value per line.
func (n *Node) Metrics() http.Handler {
	traffic := &trafficquery.Queries{Traffic: n.Tables.Traffic}
	dispatch := &dispatchquery.Queries{Tables: n.Tables}
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var b bytes.Buffer
		for _, c := range traffic.Snapshot(0).Classes {
			labels := fmt.Sprintf("{service=%q,rank=%q", c.Service, c.Rank)
			fmt.Fprintf(&b, "requests%s,outcome=%q} %d\n", labels, fleet.Answered, c.Outcomes.Answered)
			fmt.Fprintf(&b, "requests%s,outcome=%q} %d\n", labels, fleet.NotRun, c.Outcomes.NotRun)
			fmt.Fprintf(&b, "requests%s,outcome=%q} %d\n", labels, fleet.Unknown, c.Outcomes.Unknown)
			fmt.Fprintf(&b, "latency-ms%s,quantile=\"0.5\"} %d\n", labels, c.P50.Milliseconds())
			fmt.Fprintf(&b, "latency-ms%s,quantile=\"0.99\"} %d\n", labels, c.P99.Milliseconds())
		}
		writeZones(&b, &zonequery.Queries{Tables: n.Tables})
		writePlacing(&b, dispatch)
		now := time.Now()
		writeDispatchCounts(&b, dispatch)
		writeQueueDepths(&b, dispatch, now)
		for _, topic := range []table.Topic{table.TopicConfiguration, table.TopicBackendServers} {
			fmt.Fprintf(&b, "copy-age-ms{topic=%q} %d\n", topic, n.Replicas.Age(topic, now).Milliseconds())
		}
		fmt.Fprintf(&b, "process-pauses %d\n", n.pauses.Count())
		writeQuotas(&b, now, &quotaquery.Queries{Tables: n.Tables})
		writeTransferUsage(&b, (&transferquery.Queries{Tables: n.Tables}).Usage())
		fmt.Fprintf(&b, "entry-hosts %d\n", len(n.Roster.EntryHosts()))
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = w.Write(b.Bytes()) // a disconnected client misses one sample
	})
}

func writeTransferUsage(b *bytes.Buffer, u transferquery.Usage) {
	fmt.Fprintf(b, "held-bytes{direction=\"requests\"} %d\n", u.RequestBytes)
	fmt.Fprintf(b, "held-bytes{direction=\"responses\"} %d\n", u.ResponseBytes)
	fmt.Fprintf(b, "held-bytes-limit %d\n", u.LimitBytes)
	fmt.Fprintf(b, "transfers-waiting %d\n", u.Waiting)
	fmt.Fprintf(b, "transfers-slowed %d\n", u.Slowed)
	fmt.Fprintf(b, "transfers-refused %d\n", u.Refused)
}

func writeDispatchCounts(b *bytes.Buffer, q *dispatchquery.Queries) {
	for _, c := range q.Counts() {
		labels := fmt.Sprintf("{service=%q,rank=\"%d\"", c.Service, c.Rank)
		for _, counter := range []struct {
			name  string
			value int64
		}{
			{"admitted", c.Admitted}, {"attempts", c.Attempts}, {"retries", c.Retries}, {"late", c.Late}, {"waited-for-budget", c.Waited},
			{"abandoned", c.Abandoned}, {"displaced", c.Displaced},
		} {
			fmt.Fprintf(b, "dispatch-%s%s} %d\n", counter.name, labels, counter.value)
		}
		for reason, count := range c.Refused {
			fmt.Fprintf(b, "dispatch-refused%s,reason=%q} %d\n", labels, reason, count)
		}
		for reason, count := range c.NotRetried {
			fmt.Fprintf(b, "dispatch-ended%s,reason=%q} %d\n", labels, reason, count)
		}
	}
}

func writeQueueDepths(b *bytes.Buffer, q *dispatchquery.Queries, now time.Time) {
	for _, d := range q.QueueDepths(now) {
		labels := fmt.Sprintf("{service=%q,rank=\"%d\"", d.Service, d.Rank)
		fmt.Fprintf(b, "queue-waiting%s,lane=\"in-time\"} %d\n", labels, d.Waiting-d.WaitingLate)
		fmt.Fprintf(b, "queue-waiting%s,lane=\"late\"} %d\n", labels, d.WaitingLate)
		fmt.Fprintf(b, "queue-longest-wait-ms%s} %d\n", labels, d.LongestWait.Milliseconds())
	}
}
