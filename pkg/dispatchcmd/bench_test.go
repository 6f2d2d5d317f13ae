package dispatchcmd

import (
	"context"
	"fmt"
	"testing"
	"time"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

// instantRunner is a request that every backend server answers immediately.
type instantRunner struct{}

func (instantRunner) Send(context.Context, fleet.BackendServer) table.Result {
	return table.Result{Evidence: fleet.Succeeded, Sent: true, Response: true, Status: 200}
}

func (instantRunner) Deliver(context.Context) table.Result {
	return table.Result{Outcome: fleet.Answered, Evidence: fleet.Succeeded, Sent: true, Response: true, Status: 200}
}

func (instantRunner) Discard() {}

// BenchmarkRequest measures a request from admission to its result without any I/O, by the number of servers of its
// service.
func BenchmarkRequest(b *testing.B) {
	for _, servers := range []int{6, 20, 42, 100} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			f := newFixture(8, servers)
			defer f.Close()
			b.ReportAllocs()
			for b.Loop() {
				f.lastID++
				now := time.Now()
				t := &table.Ticket{
					ID: fmt.Sprint(f.lastID), Service: service, Tenant: "shop", Idempotent: true, Arrived: now,
					Deadline: now.Add(time.Minute), Context: context.Background(), Runner: instantRunner{},
					Done: make(chan table.Result, 1),
				}
				if err := f.Admit(now, t); err != nil {
					b.Fatal(err)
				}
				<-t.Done
			}
		})
	}
}
