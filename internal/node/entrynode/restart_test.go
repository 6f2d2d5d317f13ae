package entrynode

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/internal/decide/replica"
	"egretline.example/egretline/internal/peer/peerapi"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/table"
)

// hostsLog is a log whose topic of hosts names one host.
type hostsLog struct {
	emptyLog
	Host fleet.Host
}

func (l hostsLog) Newest(_ context.Context, topic table.Topic) (replica.Batch, error) {
	b := replica.Batch{Whole: true, Every: true, Next: 1, AsOf: time.Now()}
	if topic != table.TopicHosts {
		return b, nil
	}
	value, err := json.Marshal(peerapi.HostMessage(l.Host, true))
	b.Records = []replica.Record{{Key: l.Host.ID, Value: value}}
	return b, err
}

// TestContact guards against nodes that do not find each other for a second after a loss of power: each of them sends
// callers to itself, and hears nothing of the failures that the others see.
func TestContact(t *testing.T) {
	t.Run("an entry host of before is contacted until it is up", func(t *testing.T) {
		n := newNode(t)
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
		is.New(t).NoErr(err)
		address := l.Addr().String()
		is.New(t).NoErr(l.Close()) // not up yet
		strong := fleet.Host{ID: "strong", PeerAddress: address}
		list := n.unheard([]fleet.Host{strong, {ID: "self"}})
		is.New(t).Equal(list, []fleet.Host{strong})
		n.sync(strong) // fails
		is.New(t).Equal(n.unheard(list), list)

		l, err = new(net.ListenConfig).Listen(context.Background(), "tcp4", address)
		is.New(t).NoErr(err)
		server := &http.Server{Handler: answering(strong)} //nolint:gosec // the peer is the test
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Close() })
		n.sync(strong)
		is.New(t).Equal(len(n.unheard(list)), 0)
	})
	// Guards against hundreds of nodes that read a registry of thousands of servers at the same time: with 300 nodes, none had
	// it for 30 s after all were killed.
	t.Run("of the nodes that restart those in the topic read the log at once", func(t *testing.T) {
		for id, want := range map[string]bool{"self": true, "strong": false} {
			n := newNode(t)
			n.SetSeeds([]string{"127.0.0.1:2"})
			n.replicas.Log = hostsLog{Host: fleet.Host{ID: id, PeerAddress: "127.0.0.1:1"}}
			ctx, cancel := context.WithTimeout(context.Background(), 3*contactPeriod)
			n.contactLoop(ctx)
			cancel()
			now := time.Now()
			is.New(t).Equal(n.mustRead(now, now), want)
			is.New(t).True(n.mustRead(now.Add(-2*firstRead), now)) // nobody waits for others forever
		}
	})
	t.Run("the hosts of the topic are learned", func(t *testing.T) {
		n := newNode(t)
		strong := fleet.Host{ID: "strong", PeerAddress: "127.0.0.1:1"}
		n.replicas.Log = hostsLog{Host: strong}
		is.New(t).Equal(n.learnHosts(context.Background()), []fleet.Host{strong})
	})
}

// answering answers messages as the host.
func answering(h fleet.Host) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(peerapi.SyncResponse{From: peerapi.HostMessage(h, true)})
	})
}

// TestEntryTTL guards against callers that keep the first answer of a node which knows only itself.
func TestEntryTTL(t *testing.T) {
	for name, c := range map[string]struct {
		first bool
		after time.Duration
		want  time.Duration
	}{
		"just after a restart":          {false, 0, restartTTL},
		"later":                         {false, restartTime, 3 * time.Second},
		"at the first start of a fleet": {true, 0, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &Node{Options: Options{FirstStart: c.first, EntryTTL: 3 * time.Second}, started: time.Now()}
				time.Sleep(c.after)
				is.New(t).Equal(n.EntryTTL(), c.want)
			})
		})
	}
}

// TestFirstConfiguration guards against a new fleet in which every host reads the log until the first configuration is there.
func TestFirstConfiguration(t *testing.T) {
	for name, c := range map[string]struct {
		seeds []string
		first bool
		want  time.Duration
	}{
		"the first seed reads often":        {[]string{"self:1", "b:1"}, true, registrarAge},
		"the second one a step later":       {[]string{"b:1", "self:1"}, true, registrarAge + registrarStep},
		"the other hosts wait for them":     {[]string{"b:1"}, true, unreadyAge},
		"hosts that restart do not so long": {[]string{"b:1"}, false, otherAge},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode(t)
			n.Options.Self.PeerAddress = "self:1"
			n.Options.FirstStart = c.first
			n.SetSeeds(c.seeds)
			is.New(t).Equal(n.ageLimit(), c.want)
			n.hosts.SetReady(true)
			n.hosts.Refresh(time.Now(), 0)
			is.New(t).Equal(n.ageLimit(), registrarAge) // alone and ready, it is the registrar
		})
	}
}
