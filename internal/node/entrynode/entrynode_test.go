package entrynode

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/decide/registry"
	"egretline.example/egretline/internal/decide/replica"
	"egretline.example/egretline/pkg/decide/retry"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

// emptyLog is a log without records and the decoder for its topics.
type emptyLog struct{}

func (emptyLog) Read(context.Context, table.Topic, int64) (replica.Batch, error) {
	return replica.Batch{Uncompacted: true}, nil
}

func (emptyLog) Newest(context.Context, table.Topic) (replica.Batch, error) {
	return replica.Batch{Full: true}, nil
}

func (emptyLog) Append(context.Context, table.Topic, string, []byte) error { return nil }

func (emptyLog) Configuration([]byte) (*fleet.Configuration, error) {
	return &fleet.Configuration{}, nil
}

func (emptyLog) BackendServer(string, []byte) (registry.Registration, error) {
	return registry.Registration{}, nil
}

func newNode(t *testing.T) *Node {
	t.Helper()
	n, err := New(Options{Self: fleet.Host{
		ID: "self", AvailabilityZone: "a", CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
	}}, emptyLog{}, emptyLog{}, zerolog.Nop())
	is.New(t).NoErr(err)
	t.Cleanup(n.closeServers)
	return n
}

// newSilentPeer returns a host that accepts connections and never responds.
func newSilentPeer(t *testing.T) fleet.Host {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	return fleet.Host{ID: "silent", PeerAddress: l.Addr().String()}
}

func TestStop(t *testing.T) {
	// Guards against a node that exceeds its grace period because it waits for peers. The HTTP client has no timeout here,
	// and only the cancellation of the node's context ends the requests.
	t.Run("unresponsive peers do not delay the stop of a node", func(t *testing.T) {
		n := newNode(t)
		n.peers.HTTP = &http.Client{}
		peer := newSilentPeer(t)
		for range gossipQueueLength / 2 {
			is.New(t).NoErr(n.evidencePool.TrySubmit(evidenceMessage{To: peer}))
		}
		n.submitSync(peer)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		n.Options.GracePeriod = 0
		is.New(t).NoErr(n.Run(ctx))
	})
}

func assertInitialRetryBudget(t *testing.T, firstStart bool, wantFull bool) {
	t.Helper()
	n := newNode(t)
	n.Options.FirstStart, n.Options.RetryBurst, n.Options.RetryRatio = firstStart, 62, 0.2
	n.rosterCommands.SetReady(true)
	n.rosterCommands.SelectEntryHosts(time.Now(), 0)
	budget := retry.NewBudgetWithParams(n.retryBudgetParams())
	is.New(t).Equal(budget.Balance == budget.Params.MaxBalance, wantFull)
	is.New(t).True(budget.Params.MaxBalance > 1)
}

func TestRetryBurst(t *testing.T) {
	t.Run("first start of the fleet has the full burst", func(t *testing.T) { assertInitialRetryBudget(t, true, true) })
	// Guards against a second burst within one window after all nodes were killed.
	t.Run("restarted node has no burst", func(t *testing.T) { assertInitialRetryBudget(t, false, false) })
	t.Run("node that is not an entry host has no burst", func(t *testing.T) {
		n := newNode(t)
		n.Options.RetryBurst = 62
		is.New(t).Equal(n.retryBudgetParams().MaxBalance, 1.0)
	})
}
