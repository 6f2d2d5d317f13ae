package dispatchcmd

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/decide/admission"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/healthcmd"
	"egretline.example/egretline/pkg/table"
)

// outstandingBytes returns the length of the request bodies at all servers, and the most at one of them.
func (f *fixture) outstandingBytes() (sum, most int64) {
	f.Tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		for _, s := range b.Services[service] {
			sum += s.OutstandingBytes
			most = max(most, s.OutstandingBytes)
		}
	})
	return sum, most
}

// TestServerBodies guards against uploads that exceed the memory of a backend server although it has free slots, and against
// uploads or other requests that wait for good because of that.
func TestServerBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(10, 2)
		defer f.Close()
		f.MaxServerBodyBytes = 1 << 20
		f.SetSharing(Sharing{Nodes: 1})
		var tickets []*table.Ticket
		for range 4 {
			upload := f.ticket("a", 10*time.Second, &fakeRunner{})
			upload.BodyBytes = 700 << 10
			tickets = append(tickets, upload)
		}
		wait := f.start(tickets...)
		synctest.Wait()
		_, most := f.outstandingBytes()
		is.Equal(most, int64(700<<10)) // one upload at each server
		small := f.roundTrip(f.ticket("a", 10*time.Second, &fakeRunner{}))
		is.Equal(small.QueueDelay, time.Duration(0))
		for _, r := range append(wait(), small) {
			is.Equal(r.Outcome, fleet.Answered)
		}
		sum, _ := f.outstandingBytes()
		is.Equal(sum, int64(0))
	})
}

// Guards against an upload alone in its tenant's queue that restarts the time for which the queue counts as standing, and lets
// all waiting requests be searched again, each time that it fits no server.
func TestDeferUploads(t *testing.T) {
	is := is.New(t)
	since := time.Unix(1, 0)
	queue := &admission.Queue[*table.Ticket]{WaitingSince: since}
	upload := admission.Item[*table.Ticket]{ID: "upload", Tenant: "a"}
	uploads := []admission.Item[*table.Ticket]{upload}
	admission.Push(queue, upload)
	is.True(!deferUploads(queue, uploads))
	is.Equal(queue.WaitingSince, since)
	admission.Push(queue, admission.Item[*table.Ticket]{ID: "small", Tenant: "a"})
	is.True(deferUploads(queue, uploads))
	is.Equal(admission.Next(queue, since, nil).Late[0].ID, "small")
}

// Guards against a count of bytes that drifts when a server starts anew, or callers use a request ID twice, while requests are
// outstanding: the server would get too many uploads, or none, for good.
func TestServerBodiesOfNewRun(t *testing.T) {
	runInBubble(t, 10, 1, func(is *is.I, f *fixture) {
		tickets := make([]*table.Ticket, 2)
		for n := range tickets {
			tickets[n] = f.ticket("a", 10*time.Second, &fakeRunner{})
			tickets[n].ID, tickets[n].BodyBytes = "same", 1000
		}
		wait := f.start(tickets...)
		synctest.Wait()
		c := f.configuration()
		c.Services[service].BackendServers[0].Instance = "next"
		f.Health.(*healthcmd.Commands).Sync(time.Now(), c)
		sum, _ := f.outstandingBytes()
		is.Equal(sum, int64(2000))
		wait()
		sum, _ = f.outstandingBytes()
		is.Equal(sum, int64(0))
	})
}
