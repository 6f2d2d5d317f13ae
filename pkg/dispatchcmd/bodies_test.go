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
	upload := admission.Item[*table.Ticket]{ID: "upload", Tenant: "a", Payload: &table.Ticket{}}
	uploads := []admission.Item[*table.Ticket]{upload}
	admission.Push(queue, upload)
	is.True(!deferUploads(queue, uploads))
	is.Equal(queue.WaitingSince, since)
	admission.Push(queue, admission.Item[*table.Ticket]{ID: "small", Tenant: "a"})
	is.True(deferUploads(queue, uploads))
	is.Equal(admission.Next(queue, since, nil).Late[0].ID, "small")
}

// TestServerBodiesReturned guards against bytes at a server that are counted wrongly for good after its restart, or after two
// requests with the same ID, which callers choose.
func TestServerBodiesReturned(t *testing.T) {
	run := func(name string, during func(f *fixture), ids ...string) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFixture(10, 1)
				defer f.Close()
				var tickets []*table.Ticket
				var want int64
				for k, id := range ids {
					one := f.ticket("a", 10*time.Second, &fakeRunner{})
					one.ID, one.BodyBytes = id, int64(k+1)<<20
					want += one.BodyBytes
					tickets = append(tickets, one)
				}
				wait := f.start(tickets...)
				synctest.Wait()
				during(f)
				sum, _ := f.outstandingBytes()
				is.Equal(sum, want)
				for _, r := range wait() {
					is.Equal(r.Outcome, fleet.Answered)
				}
				sum, _ = f.outstandingBytes()
				is.Equal(sum, int64(0))
			})
		})
	}
	run("a server that restarts during an upload", func(f *fixture) {
		c := &fleet.Configuration{Services: map[string]fleet.Service{service: {
			Name: service, GroupSize: 1, Floor: 1,
			BackendServers: []fleet.BackendServer{{Address: "s0", Slots: 2, StartedAtMs: 2}},
		}}}
		(&healthcmd.Commands{Tables: f.Tables}).Sync(time.Now(), c)
	}, "r1")
	run("two uploads with one ID", func(*fixture) {}, "r1", "r1")
}

// TestDeferredUploads guards against an upload that runs twice, or never, because another waiting request has the same ID.
func TestDeferredUploads(t *testing.T) {
	for range 20 { // the queue visits tenants in random order
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(10, 1)
			defer f.Close()
			f.MaxServerBodyBytes = 1 << 20
			f.SetSharing(Sharing{Nodes: 1})
			var tickets []*table.Ticket
			for _, tenant := range []string{"a", "a", "b", "c"} {
				upload := f.ticket(tenant, 10*time.Second, &fakeRunner{})
				upload.BodyBytes = 700 << 10
				tickets = append(tickets, upload)
			}
			for _, upload := range tickets[1:] {
				upload.ID = "same"
			}
			for _, r := range f.start(tickets...)() {
				is.Equal(r.Outcome, fleet.Answered)
			}
			for _, upload := range tickets {
				is.Equal(len(upload.Runner.(*fakeRunner).sent), 1)
			}
		})
	}
}

// TestWaitsForMemory guards against uploads that lose their place in the queue although no bound is set, or although they wait
// for a slot.
func TestWaitsForMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFixture(10, 1)
		defer f.Close()
		upload := f.ticket("a", time.Second, nil)
		upload.BodyBytes = 700 << 10
		is.Equal(f.roundTrip(f.ticket("a", time.Second, &fakeRunner{})).Outcome, fleet.Answered) // sets the limit of the server
		f.Tables.Backends.Write(guard.Held{}, func(_ guard.Held, b *table.Backends) {
			p := servicePool{Servers: b.Services[service], Addresses: []string{"s0"}, Sharing: Sharing{Nodes: 1}}
			s := p.Servers["s0"]
			s.OutstandingBytes = 700 << 10
			is.Equal(waitsForMemory(p, upload, "", time.Now()), false)
			p.MaxServerBodyBytes = 1 << 20
			is.Equal(waitsForMemory(p, upload, "", time.Now()), true)
			s.Outstanding = s.Server.Slots
			is.Equal(waitsForMemory(p, upload, "", time.Now()), false)
			s.OutstandingBytes, s.Outstanding = 0, 0
		})
	})
}
