package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// stopLoad is a queue of one rank with one slot, which is held, and waiting requests that each take 100 ms.
func stopLoad(waiting int) *Queue[int] {
	q := &Queue[int]{Ranks: []RankQueue[int]{{}}, Slots: 1}
	for range 100 { // the deviation is close to zero
		q.Ranks[0].ServiceTime.Observe(100 * time.Millisecond)
	}
	q.Ranks[0].Held = 1
	for k := range waiting {
		Push(q, stopItem(k))
	}
	return q
}

func stopItem(k int) Item[int] {
	return Item[int]{Arrived: start.Add(time.Duration(k)), Deadline: start.Add(time.Hour), Payload: k}
}

func payloads(items []Item[int]) []int {
	list := make([]int, len(items))
	for k, i := range items {
		list[k] = i.Payload
	}
	return list
}

// TestStopAt guards against requests that a stopping node keeps in its queue, or takes, although it cannot answer them
// before it ends. Their callers saw a closed connection, after which a booking cannot be repeated.
func TestStopAt(t *testing.T) {
	t.Run("waiting requests that would not be answered before the stop are returned", func(t *testing.T) {
		is := is.New(t)
		q := stopLoad(6)
		is.Equal(payloads(StopAt(q, start.Add(450*time.Millisecond), start)), []int{3, 4, 5}) // 100 ms each, after one that runs
		is.Equal(Waiting(q), 3)
	})
	t.Run("a retry keeps its place before the other requests", func(t *testing.T) {
		is := is.New(t)
		q := stopLoad(2)
		retried := stopItem(2)
		retried.Attempt = 1
		Push(q, retried)
		is.Equal(payloads(StopAt(q, start.Add(250*time.Millisecond), start)), []int{0, 1})
		ReleaseSlot(q, 0, 0)
		is.Equal(Next(q, start, nil).Item.Payload, 2)
	})
	t.Run("all waiting requests are returned at the stop", func(t *testing.T) {
		q := stopLoad(3)
		q.Ranks[0].ServiceTime = ServiceTime{} // no service time was observed
		is.New(t).Equal(len(StopAt(q, start, start)), 3)
	})
	t.Run("a new request is refused if it would not be answered before the stop", func(t *testing.T) {
		q := stopLoad(0)
		StopAt(q, start.Add(250*time.Millisecond), start)
		_, err := Offer(q, stopItem(0), start)
		is.New(t).NoErr(err)
		_, err = Offer(q, stopItem(1), start)
		assertStopping(t, err)
		ReleaseSlot(q, 0, 0)
		Next(q, start, nil)
		ReleaseSlot(q, 0, 0)
		_, err = Offer(q, stopItem(2), start.Add(200*time.Millisecond)) // a slot is free
		assertStopping(t, err)
	})
	t.Run("a request that waits for too long is late", func(t *testing.T) {
		is := is.New(t)
		q := stopLoad(1)
		is.Equal(len(StopAt(q, start.Add(250*time.Millisecond), start)), 0)
		is.Equal(len(RemoveLate(q, start.Add(140*time.Millisecond))), 0)
		is.Equal(len(RemoveLate(q, start.Add(160*time.Millisecond))), 1)
	})
}

// assertStopping fails unless the error refuses a request because the node is stopping.
func assertStopping(t *testing.T, err error) {
	t.Helper()
	is.New(t).Equal(err, RefusedError{Reason: NodeStopping, RetryAfter: StoppingRetryAfter})
}
