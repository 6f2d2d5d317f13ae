package peerserver_test

import (
	"bytes"
	"context"
	"net/http"
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

func newServer(tables *table.Tables) *peerserver.Server {
	return &peerserver.Server{
		RosterCommands: rostercmd.New(tables, zerolog.Nop()), Roster: &rosterquery.Queries{Tables: tables},
		Replicas: &replicaquery.Queries{Tables: tables}, Health: &healthcmd.Commands{Tables: tables}, Logger: zerolog.Nop(),
	}
}

// newPeer starts a peer server and returns the tables of its node and its address.
func newPeer(t *testing.T) (*table.Tables, string) {
	t.Helper()
	tables := table.New(fleet.Host{ID: "registrar", AvailabilityZone: "a"}, "")
	server := httptest.NewServer(newServer(tables).Handler())
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

// postRaw sends a message body to the path and returns the status of the response.
func postRaw(t testing.TB, address, path string, body []byte) int {
	t.Helper()
	response, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(body)) //nolint:noctx // loopback
	is.New(t).NoErr(err)
	defer response.Body.Close()
	return response.StatusCode
}

// assertLeaving checks whether the backend server is leaving.
func assertLeaving(t *testing.T, tables *table.Tables, want bool) {
	t.Helper()
	tables.Backends.Read(guard.Held{}, func(_ guard.Held, b *table.Backends) {
		is.New(t).Equal(b.Services["desk"]["10.1.0.9:80"].Leaving, want)
	})
}

func TestEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		startedAt int64
		want      bool
	}{"a leaving server gets no more requests": {1, true}, "an earlier run of the server was leaving": {0, false}} {
		t.Run(name, func(t *testing.T) {
			tables, address := newPeer(t)
			(&healthcmd.Commands{Tables: tables}).Sync(time.Now(), &fleet.Configuration{Services: map[string]fleet.Service{
				"desk": {Name: "desk", BackendServers: []fleet.BackendServer{{Address: "10.1.0.9:80", Instance: "i-1", StartedAtMs: 1}}},
			}})
			is.New(t).NoErr(peerclient.New().SendEvidence(context.Background(), address, peerapi.Evidence{
				From:    peerapi.Host{ID: "other"},
				Leaving: []peerapi.ServerEvidence{{Service: "desk", Address: "10.1.0.9:80", Instance: "i-1", StartedAtMs: c.startedAt}},
			}))
			assertLeaving(t, tables, c.want)
		})
	}
}

// Guards against messages of a faulty node that end this one, or that make its replicas look newer than they are.
func TestOddMessages(t *testing.T) {
	_, address := newPeer(t)
	for name, body := range map[string]string{
		"no JSON": "x", "deep nesting": strings.Repeat(`{"from":`, 20_000), "no sender": "{}",
		"weight beyond a float": `{"from":{"id":"h","weight":1e999}}`, "huge weight": `{"from":{"id":"h","weight":1e300}}`,
		"negative weight": `{"from":{"id":"h","weight":-1}}`, "port out of range": `{"from":{"id":"h","peer-address":"10.0.0.1:70000"}}`,
		"port 0": `{"from":{"id":"h","caller-address":"10.0.0.1:0"}}`, "long ID": `{"from":{"id":"` + strings.Repeat("h", 300) + `"}}`,
		"age beyond the size": `{"from":{"id":"h"},"failures":[{"age-ms":99999999999999999999}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{peerapi.PathSync, peerapi.PathEvidence} {
				if strings.Contains(body, "age-ms") && path == peerapi.PathSync {
					continue // has no such field
				}
				is.New(t).Equal(postRaw(t, address, path, []byte(body)), http.StatusBadRequest)
			}
		})
	}
	t.Run("ages are bounded", func(t *testing.T) {
		is := is.New(t)
		now := time.Now()
		for _, ms := range []int64{-1, -1 << 63, 0, 1<<63 - 1, 9_300_000_000_000} {
			asOf := peerapi.Batch{AgeMs: ms}.ReplicaBatch(now).AsOf
			is.True(!asOf.After(now) && now.Sub(asOf) <= time.Hour)
			age := peerapi.ServerEvidence{AgeMs: ms}.Age()
			is.True(age >= 0 && age <= time.Hour)
		}
	})
}

func FuzzMessages(f *testing.F) {
	f.Add([]byte(`{"from":{"id":"h","weight":3},"cursors":{"hosts":-1},"digest":7}`))
	f.Add([]byte(`{"from":{"id":"h"},"failures":[{"service":"desk","address":"x","age-ms":-9223372036854775808}],"leaving":[{}]}`))
	tables := table.New(fleet.Host{ID: "registrar", AvailabilityZone: "a"}, "")
	s := newServer(tables)
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, path := range []string{peerapi.PathSync, peerapi.PathEvidence} {
			w := httptest.NewRecorder()
			s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body)))
			if w.Code != http.StatusOK && w.Code != http.StatusBadRequest {
				t.Errorf("status %d", w.Code)
			}
		}
		s.RosterCommands.SelectEntryHosts(time.Now(), 100)
	})
}
