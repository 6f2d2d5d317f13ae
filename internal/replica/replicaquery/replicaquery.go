// Package replicaquery reads the node's copies of topics of the platform's log.
package replicaquery

import (
	"time"

	"egretline.example/egretline/internal/decide/replica"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/table"
)

// Queries reads the Replicas table of one node.
type Queries struct {
	Tables *table.Tables
}

// Cursors returns the offset that follows the copy of each topic.
func (q *Queries) Cursors() map[table.Topic]int64 {
	cursors := map[table.Topic]int64{}
	q.Tables.Replicas.Read(guard.Held{}, func(_ guard.Held, r *table.Replicas) {
		for topic, s := range r.Topics {
			cursors[topic] = s.Next
		}
	})
	return cursors
}

// Delta returns what a copy that has everything before the offset lacks.
func (q *Queries) Delta(topic table.Topic, next int64) (b replica.Batch) {
	q.Tables.Replicas.Read(guard.Held{}, func(_ guard.Held, r *table.Replicas) {
		if s, known := r.Topics[topic]; known {
			b = replica.Delta(s, next)
		}
	})
	return b
}

// Age returns how old the copy of the topic may be.
func (q *Queries) Age(topic table.Topic, now time.Time) (age time.Duration) {
	q.Tables.Replicas.Read(guard.Held{}, func(_ guard.Held, r *table.Replicas) { age = replica.Age(r.Topics[topic], now) })
	return age
}

// Records returns the records of the topic.
func (q *Queries) Records(topic table.Topic) (records []replica.Record) {
	q.Tables.Replicas.Read(guard.Held{}, func(_ guard.Held, r *table.Replicas) {
		for _, record := range r.Topics[topic].Records {
			records = append(records, record)
		}
	})
	return records
}

// Slots returns the number of slots of all backend servers that are entered.
func (q *Queries) Slots() (slots int) {
	q.Tables.Replicas.Read(guard.Held{}, func(_ guard.Held, r *table.Replicas) {
		for _, e := range r.Registry.Entries {
			slots += e.Slots
		}
	})
	return slots
}
