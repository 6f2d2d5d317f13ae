package peerserver_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"egretline.example/egretline/internal/decide/replica"
	"egretline.example/egretline/internal/peer/peerapi"
	"egretline.example/egretline/internal/peer/peerclient"
	"egretline.example/egretline/internal/peer/peerserver"
	"egretline.example/egretline/internal/replica/replicaquery"
	"egretline.example/egretline/internal/roster/rostercmd"
	"egretline.example/egretline/internal/roster/rosterquery"
	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/pkg/guard"
	"egretline.example/egretline/pkg/healthcmd"
	"egretline.example/egretline/pkg/table"
)

// newPeer starts a peer server and returns the tables of its node and its address.
func newPeer(t *testing.T) (*table.Tables, string) {
	t.Helper()
	tables := table.New(fleet.Host{ID: "registrar", AvailabilityZone: "a"}, "")
	s := &peerserver.Server{
		RosterCommands: rostercmd.New(tables, zerolog.Nop()), Roster: &rosterquery.Queries{Tables: tables},
		Replicas: &replicaquery.Queries{Tables: tables}, Health: &healthcmd.Commands{Tables: tables}, Logger: zerolog.Nop(),
	}
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	return tables, strings.TrimPrefix(server.URL, "http://")
}

func fillReplica(tables *table.Tables, value string) {
	tables.Replicas.Write(guard.Held{}, func(_ guard.Held, r *table.Replicas) {
		b := replica.Batch{
			Records: []replica.Record{{Key: "config", Value: []byte(value), Offset: 3}},
			Next:    4, Uncompacted: true, AsOf: time.Now(),
		}
		replica.Apply(r.Topics[table.TopicConfiguration], b, nil, time.Now())
	})
}

func requestSync(t *testing.T, address string, next int64, digest uint64) peerapi.SyncResponse {
	t.Helper()
	response, err := peerclient.New().Sync(context.Background(), address, peerapi.SyncRequest{
		From:    peerapi.Host{ID: "other", Ready: true},
		Cursors: map[table.Topic]int64{table.TopicConfiguration: next}, HostListDigest: digest,
	})
	is.New(t).NoErr(err)
	return response
}

func assertRecord(t *testing.T, r peerapi.SyncResponse, want string) {
	t.Helper()
	is := is.New(t)
	is.Equal(len(r.Topics[table.TopicConfiguration].Records), 1)
	is.Equal(string(r.Topics[table.TopicConfiguration].Records[0].Value), want)
}

func TestSync(t *testing.T) {
	for name, value := range map[string]string{
		"short record is sent": "x",
		// Guards against complete configurations sent uncompressed between zones to each of a hundred nodes.
		"long record is compressed": strings.Repeat("route ", 20_000),
	} {
		t.Run(name, func(t *testing.T) {
			tables, address := newPeer(t)
			fillReplica(tables, value)
			assertRecord(t, requestSync(t, address, 0, 0), value)
		})
	}
	t.Run("records and hosts that the requesting node has are not sent again", func(t *testing.T) {
		is := is.New(t)
		tables, address := newPeer(t)
		fillReplica(tables, "x")
		first := requestSync(t, address, 4, 0)
		is.Equal(len(first.Topics[table.TopicConfiguration].Records), 0)
		is.Equal(len(first.Hosts), 1) // the requesting node itself
		is.Equal(len(requestSync(t, address, 4, first.HostListDigest).Hosts), 0)
	})
	// Guards against a node that takes an empty replica for the state of the log.
	t.Run("replica that was never complete is not sent", func(t *testing.T) {
		_, address := newPeer(t)
		is.New(t).Equal(len(requestSync(t, address, 0, 0).Topics), 0)
	})
}
