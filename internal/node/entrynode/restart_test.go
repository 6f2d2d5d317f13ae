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

// hostsTopicLog is a log whose topic of hosts contains one host.
type hostsTopicLog struct {
	emptyLog
	Host fleet.Host
}

func (l hostsTopicLog) Newest(_ context.Context, topic table.Topic) (replica.Batch, error) {
	b := replica.Batch{Full: true, Uncompacted: true, Next: 1, AsOf: time.Now()}
	if topic != table.TopicHosts {
		return b, nil
	}
	value, err := json.Marshal(peerapi.HostMessage(l.Host, true))
	b.Records = []replica.Record{{Key: l.Host.ID, Value: value}}
	return b, err
}

// TestContact guards against nodes that take a second to find each other after a power failure. Until then each of them
// directs callers to itself and receives no evidence of the failures that the others observe.
func TestContact(t *testing.T) {
	t.Run("previous entry host is contacted until it responds", func(t *testing.T) {
		n := newNode(t)
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
		is.New(t).NoErr(err)
		address := l.Addr().String()
		is.New(t).NoErr(l.Close()) // not listening yet
		strong := fleet.Host{ID: "strong", PeerAddress: address}
		list := n.uncontactedHosts([]fleet.Host{strong, {ID: "self"}})
		is.New(t).Equal(list, []fleet.Host{strong})
		n.sync(strong) // fails
		is.New(t).Equal(n.uncontactedHosts(list), list)

		l, err = new(net.ListenConfig).Listen(context.Background(), "tcp4", address)
		is.New(t).NoErr(err)
		server := &http.Server{Handler: syncResponder(strong)} //nolint:gosec // the test is the only client
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Close() })
		n.sync(strong)
		is.New(t).Equal(len(n.uncontactedHosts(list)), 0)
	})
	// Guards against hundreds of nodes that read a registry of thousands of servers at the same time: with 300 nodes, no
	// node had a complete registry for 30 s after all were killed.
	t.Run("only restarted nodes listed in the topic read the log immediately", func(t *testing.T) {
		for id, want := range map[string]bool{"self": true, "strong": false} {
			n := newNode(t)
			n.SetSeeds([]string{"127.0.0.1:2"})
			n.replicaCommands.Log = hostsTopicLog{Host: fleet.Host{ID: id, PeerAddress: "127.0.0.1:1"}}
			ctx, cancel := context.WithTimeout(context.Background(), 3*contactInterval)
			n.restartContactLoop(ctx)
			cancel()
			now := time.Now()
			is.New(t).Equal(n.needsLogRead(now, now), want)
			is.New(t).True(n.needsLogRead(now.Add(-2*initialReadDelay), now)) // the wait for other nodes is bounded
		}
	})
	t.Run("hosts in the topic are added to the known hosts", func(t *testing.T) {
		n := newNode(t)
		strong := fleet.Host{ID: "strong", PeerAddress: "127.0.0.1:1"}
		n.replicaCommands.Log = hostsTopicLog{Host: strong}
		is.New(t).Equal(n.readHostsTopic(context.Background()), []fleet.Host{strong})
	})
}

// Guards against a restarted host that finds no other host in the topic of hosts. The log came back from an older copy without
// the records of the entry hosts, which did not append them again.
func TestListedInTopic(t *testing.T) {
	is := is.New(t)
	n := newNode(t)
	is.True(!n.isListed())
	n.listInTopic(t.Context())
	is.True(n.isListed())
	n.replicaCommands.Apply(table.TopicHosts, replica.Batch{Full: true, Next: 9, AsOf: time.Now()}, "peer")
	is.True(n.isListed())
	n.replicaCommands.Apply(table.TopicHosts, replica.Batch{Era: 1, Full: true, Next: 4, AsOf: time.Now()}, "peer")
	is.True(!n.isListed())
	n.listInTopic(t.Context())
	is.True(n.isListed())
}

// syncResponder responds to sync requests as the host.
func syncResponder(h fleet.Host) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(peerapi.SyncResponse{From: peerapi.HostMessage(h, true)})
	})
}

// TestEntryTTL guards against callers that cache the first directory response of a node that has contacted no other
// host yet.
func TestEntryTTL(t *testing.T) {
	for name, c := range map[string]struct {
		first bool
		after time.Duration
		want  time.Duration
	}{
		"immediately after a restart": {false, 0, restartEntryTTL},
		"later":                       {false, restartDiscoveryDuration, 3 * time.Second},
		"first start of a fleet":      {true, 0, 3 * time.Second},
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

// TestFirstConfiguration guards against a new fleet in which every host reads the log until the first configuration
// exists.
func TestFirstConfiguration(t *testing.T) {
	for name, c := range map[string]struct {
		seeds []string
		first bool
		want  time.Duration
	}{
		"first seed uses the registrar read age":    {[]string{"self:1", "b:1"}, true, registrarReadAge},
		"second seed adds one step":                 {[]string{"b:1", "self:1"}, true, registrarReadAge + registrarReadAgeStep},
		"other hosts use the bootstrap read age":    {[]string{"b:1"}, true, bootstrapReadAge},
		"restarted hosts use the fallback read age": {[]string{"b:1"}, false, fallbackReadAge},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNode(t)
			n.Options.Self.PeerAddress = "self:1"
			n.Options.FirstStart = c.first
			n.SetSeeds(c.seeds)
			is.New(t).Equal(n.logReadAge(), c.want)
			n.rosterCommands.SetReady(true)
			n.rosterCommands.SelectEntryHosts(time.Now(), 0)
			is.New(t).Equal(n.logReadAge(), registrarReadAge) // as the only ready host, it is the registrar
		})
	}
}

// TestLongOutage guards against a node that starts during a long outage of the log and never becomes ready, although the
// other nodes send it their replicas.
func TestLongOutage(t *testing.T) {
	for name, age := range map[string]time.Duration{"seconds": 5 * time.Second, "three hours": 3 * time.Hour} {
		t.Run("a node is ready with replicas that were complete before "+name, func(t *testing.T) {
			is := is.New(t)
			n := newNode(t)
			now := time.Now()
			for _, topic := range []table.Topic{table.TopicConfiguration, table.TopicBackendServers} {
				b := replica.Batch{Full: true, Next: 1, AsOf: now.Add(-age)}
				if topic == table.TopicConfiguration {
					b.Records = []replica.Record{{Key: "config", Value: []byte("x")}}
				}
				message := peerapi.BatchMessage(b, now)
				n.replicaCommands.Apply(topic, message.ReplicaBatch(now), "peer")
			}
			n.applyConfiguration()
			is.True(n.Ready())
			is.True(n.needsLogRead(now, now)) // and keeps trying to read the log
		})
	}
	t.Run("a node without replicas is not ready", func(t *testing.T) {
		n := newNode(t)
		n.applyConfiguration()
		is.New(t).True(!n.Ready())
	})
}
