// Package admission decides the order in which waiting requests are dispatched to backend servers.
package admission

import "time"

// Item is one waiting request.
type Item[T any] struct {
	ID string
	// Rank is the index of the request's rank; 0 is the most urgent.
	Rank     int
	Tenant   string
	Arrived  time.Time
	Deadline time.Time
	// Attempt is 0 for the first attempt.
	Attempt int
	Payload T
}

// Queue holds the waiting requests of one service at one node.
type Queue[T any] struct {
	Ranks [][]Item[T]
}

// Push appends the item to its rank.
func Push[T any](q *Queue[T], i Item[T]) {
	for len(q.Ranks) <= i.Rank {
		q.Ranks = append(q.Ranks, nil)
	}
	q.Ranks[i.Rank] = append(q.Ranks[i.Rank], i)
}

// Next removes and returns the item to dispatch next, or false if none waits.
func Next[T any](q *Queue[T], _ time.Time) (Item[T], bool) {
	for r, items := range q.Ranks {
		if len(items) > 0 {
			q.Ranks[r] = items[1:]
			return items[0], true
		}
	}
	return Item[T]{}, false
}

// Remove takes the item with the ID out of the queue. It returns false if the item does not wait there.
func Remove[T any](q *Queue[T], rank int, id string) bool {
	if rank >= len(q.Ranks) {
		return false
	}
	for i, item := range q.Ranks[rank] {
		if item.ID == id {
			q.Ranks[rank] = append(q.Ranks[rank][:i:i], q.Ranks[rank][i+1:]...)
			return true
		}
	}
	return false
}
