package dispatchcmd

import (
	"context"
	"fmt"
	"testing"
	"time"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

// instant is a request that every backend server answers at once.
type instant struct{}

func (instant) Send(context.Context, fleet.BackendServer) table.Result {
	return table.Result{Evidence: fleet.Succeeded, Sent: true, Response: true, Status: 200}
}

func (instant) Deliver(context.Context) table.Result {
	return table.Result{Outcome: fleet.Answered, Evidence: fleet.Succeeded, Sent: true, Response: true, Status: 200}
}

func (instant) Discard() {}

// BenchmarkRequest measures a request from admission to its result without any I/O, by the servers of its service.
func BenchmarkRequest(b *testing.B) {
	for _, servers := range []int{6, 20, 42, 100} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			n := newNode(8, servers)
			defer n.Close()
			b.ReportAllocs()
			for b.Loop() {
				n.next++
				now := time.Now()
				t := &table.Ticket{
					ID: fmt.Sprint(n.next), Service: service, Tenant: "shop", Idempotent: true, Arrived: now,
					Deadline: now.Add(time.Minute), Context: context.Background(), Runner: instant{},
					Done: make(chan table.Result, 1),
				}
				if err := n.Admit(now, t); err != nil {
					b.Fatal(err)
				}
				<-t.Done
			}
		})
	}
}
