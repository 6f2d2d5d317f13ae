// Package replicaquery reads the node's replicas of compacted topics of the platform's log.
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

// Cursors returns the next offset to read for each topic, and the era that it belongs to.
func (q *Queries) Cursors() (cursors, eras map[table.Topic]int64) {
	cursors, eras = map[table.Topic]int64{}, map[table.Topic]int64{}
	q.Tables.Replicas.Read(guard.Held{}, func(_ guard.Held, r *table.Replicas) {
		for topic, s := range r.Topics {
			cursors[topic], eras[topic] = s.Next, s.Era
		}
	})
	return cursors, eras
}

// Delta returns the records missing from a replica that is complete up to the offset in the era.
func (q *Queries) Delta(topic table.Topic, era, next int64) (b replica.Batch) {
	q.Tables.Replicas.Read(guard.Held{}, func(_ guard.Held, r *table.Replicas) {
		if s, known := r.Topics[topic]; known {
			b = replica.Delta(s, era, next)
		}
	})
	return b
}

// Era returns the era of the log that the replica of the topic belongs to.
func (q *Queries) Era(topic table.Topic) (era int64) {
	q.Tables.Replicas.Read(guard.Held{}, func(_ guard.Held, r *table.Replicas) { era = r.Topics[topic].Era })
	return era
}

// Age returns the time since the replica of the topic was known to be complete.
func (q *Queries) Age(topic table.Topic, now time.Time) (age time.Duration) {
	q.Tables.Replicas.Read(guard.Held{}, func(_ guard.Held, r *table.Replicas) { age = replica.Age(r.Topics[topic], now) })
	return age
}

// IsComplete reports whether the replica of the topic was complete at any time.
func (q *Queries) IsComplete(topic table.Topic) (complete bool) {
	q.Tables.Replicas.Read(guard.Held{}, func(_ guard.Held, r *table.Replicas) { complete = !r.Topics[topic].AsOf.IsZero() })
	return complete
}

// Records returns the replicated records of the topic.
func (q *Queries) Records(topic table.Topic) (records []replica.Record) {
	q.Tables.Replicas.Read(guard.Held{}, func(_ guard.Held, r *table.Replicas) {
		for _, record := range r.Topics[topic].Records {
			records = append(records, record)
		}
	})
	return records
}

// IsRegistered reports whether the run of a backend server is registered and not draining.
func (q *Queries) IsRegistered(instance string) (registered bool) {
	q.Tables.Replicas.Read(guard.Held{}, func(_ guard.Held, r *table.Replicas) {
		e, known := r.Registry.Entries[instance]
		registered = known && !e.Draining
	})
	return registered
}

// Slots returns the total number of slots of the backend servers that are registered for a configured service.
func (q *Queries) Slots() (slots int) {
	q.Tables.Config.Read(guard.Held{}, func(h guard.Held, v *table.Config) {
		if v.Compiled == nil {
			return
		}
		q.Tables.Replicas.Read(h, func(_ guard.Held, r *table.Replicas) {
			for _, e := range r.Registry.Entries {
				if _, configured := v.Compiled.Services[e.Service]; configured {
					slots += e.Slots
				}
			}
		})
	})
	return slots
}
