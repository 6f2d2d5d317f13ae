package peerapi

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/internal/decide/replica"
)

// Guards against a node that takes the pause of a peer for an outage of the log, or misses an outage during its own pause, because
// a message does not carry them.
func TestBatchAges(t *testing.T) {
	sent := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	roundTrip := func(b replica.Batch) replica.Batch { return BatchMessage(b, sent).ReplicaBatch(sent) }
	t.Run("a pause and an outage", func(t *testing.T) {
		b := replica.Batch{AsOf: sent.Add(-3 * time.Second), Paused: 2 * time.Second, OutageEnd: sent.Add(-time.Second)}
		is.New(t).Equal(roundTrip(b), b)
	})
	t.Run("neither", func(t *testing.T) {
		b := replica.Batch{AsOf: sent}
		is.New(t).Equal(roundTrip(b), b)
	})
	t.Run("an outage that has just ended", func(t *testing.T) {
		is.New(t).True(!roundTrip(replica.Batch{AsOf: sent, OutageEnd: sent}).OutageEnd.IsZero())
	})
	t.Run("faulty ages are bounded", func(t *testing.T) {
		b := Batch{AgeMs: 1 << 62, PausedMs: -1, OutageEndedMs: 1 << 62}.ReplicaBatch(sent)
		is.New(t).Equal(b, replica.Batch{AsOf: sent.Add(-maxAge), OutageEnd: sent.Add(-maxAge)})
	})
}
