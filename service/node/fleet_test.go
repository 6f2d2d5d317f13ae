package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"egretline.example/egretline/pkg/configcmd"
	"egretline.example/egretline/pkg/configrecord"
	"egretline.example/egretline/pkg/decide/fold"
	"egretline.example/egretline/pkg/settings"
	"egretline.example/egretline/pkg/standin/authority"
	"egretline.example/egretline/pkg/standin/backendservice"
	"egretline.example/egretline/pkg/standin/hostservice"
	"egretline.example/egretline/pkg/standin/logservice"
	"egretline.example/egretline/service/api"
)

const (
	token = "secret"
	// twinToken authenticates a tenant with access to the same services as that of token, strangerToken a tenant with
	// access to another service only.
	twinToken     = "twin-secret"
	strangerToken = "stranger-secret"
	configFile    = "fleet.toml"
)

// testFleet is a fixture that runs a fleet in one process: nodes with listeners on loopback, and stand-ins for the
// platform services and backend servers.
type testFleet struct {
	Log      *logservice.Service
	Hosts    *hostservice.Service
	Backends map[string]*backendservice.Server
	Nodes    []*Node
	// DrainGrace is the drain grace period of nodes started afterwards.
	DrainGrace time.Duration
	// GroupSize is the group size of service rental-desk in the configuration.
	GroupSize int
	// Certificates is used for connections between nodes; the zero value means plain TCP.
	Certificates authority.CertificatePaths

	logURL  string
	hostURL string
	stop    []context.CancelFunc
	done    []chan error
}

// newFleet starts the stand-ins and the given number of backend servers and nodes. The nodes are spread over three
// availability zones.
func newFleet(t testing.TB, servers, nodes int) *testFleet {
	t.Helper()
	f := &testFleet{
		Log: logservice.New(logservice.Faults{}), Hosts: hostservice.New(api.HostList{}),
		Backends: map[string]*backendservice.Server{}, GroupSize: 3, DrainGrace: 10 * time.Millisecond,
	}
	f.logURL = serveStandin(t, f.Log)
	f.hostURL = serveStandin(t, f.Hosts)
	for i := range servers {
		b := backendservice.New(backendservice.Settings{Name: fmt.Sprint(i), Seed: uint64(i)})
		url := serveStandin(t, b)
		f.Backends[strings.TrimPrefix(url, "http://")] = b
	}
	for i := range nodes {
		f.startNode(t, fmt.Sprintf("n%d", i), fmt.Sprintf("kz-central-%d", i%3))
	}
	t.Cleanup(f.close)
	return f
}

func serveStandin(t testing.TB, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

func (f *testFleet) startNode(t testing.TB, id, zone string) {
	t.Helper()
	n, err := New(settings.Settings{
		HostID: id, Region: "kz-central", AvailabilityZone: zone,
		CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0",
		LogURL: f.logURL, HostListURL: f.hostURL,
		MaxConnections: 64, ExchangeWorkers: 64, ForwardWorkers: 16, ControlWorkers: 4,
		PeerCertificate: f.Certificates.Certificate, PeerKey: f.Certificates.Key, PeerAuthority: f.Certificates.Authority,
		EntryTTL:   settings.Duration{Duration: time.Millisecond},
		DrainGrace: settings.Duration{Duration: f.DrainGrace},
	}, zerolog.Nop())
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	f.Nodes = append(f.Nodes, n)
	f.stop = append(f.stop, cancel)
	f.done = append(f.done, done)
	f.Hosts.Put(api.Host{
		ID: id, Region: "kz-central", AvailabilityZone: zone,
		CallerAddress: n.Settings.CallerAddress, PeerAddress: n.Settings.PeerAddress,
	})
}

func (f *testFleet) close() {
	var wg sync.WaitGroup
	for i := range f.Nodes {
		wg.Go(func() {
			f.stop[i]()
			<-f.done[i]
		})
	}
	wg.Wait()
}

// applyConfig appends the configuration to the log and waits until every node has it in force.
func (f *testFleet) applyConfig(t testing.TB) {
	t.Helper()
	record := configrecord.EncodeApply(fold.Apply{ID: "apply", File: configFile, Contents: f.configuration()})
	r, err := http.Post(f.logURL+"/streams/"+configcmd.ApplyStream+"/records", "application/json", strings.NewReader(string(record)))
	is.New(t).NoErr(err)
	is.New(t).NoErr(r.Body.Close())
	for _, n := range f.Nodes {
		await(t, func() bool { return n.Config.Current() != nil })
	}
}

func (f *testFleet) configuration() []byte {
	var b strings.Builder
	b.WriteString("[[rank]]\nname = \"bookings\"\nshare = 0.6\nslot-limit = 1.0\n")
	b.WriteString("[[rank]]\nname = \"archives\"\nshare = 0.2\nslot-limit = 0.8\n")
	fmt.Fprintf(&b, "[service.rental-desk]\nregion = \"kz-central\"\nfloor = 1\ngroup-size = %d\n", f.GroupSize)
	for address := range f.Backends {
		fmt.Fprintf(&b, "[[service.rental-desk.backend-server]]\naddress = %q\navailability-zone = \"kz-central-0\"\nslots = 6\nconnections = 400\n", address)
	}
	b.WriteString("[[route]]\nname = \"view\"\nservice = \"rental-desk\"\nmethod = \"GET\"\npath-prefix = \"/loans\"\n" +
		"rank = \"bookings\"\nidempotent = true\ntimeout = \"20s\"\n")
	b.WriteString("[[route]]\nname = \"checkout\"\nservice = \"rental-desk\"\nmethod = \"POST\"\npath-prefix = \"/loans\"\n" +
		"rank = \"bookings\"\nidempotent = false\ntimeout = \"20s\"\n")
	writeTenant(&b, "shop", token, "rental-desk")
	writeTenant(&b, "twin", twinToken, "rental-desk")
	writeTenant(&b, "stranger", strangerToken, "other")
	return []byte(b.String())
}

func writeTenant(b *strings.Builder, name, secret, service string) {
	sum := sha256.Sum256([]byte(secret))
	fmt.Fprintf(b, "[tenant.%s]\ntoken-sha256 = %q\nservices = [%q]\n", name, hex.EncodeToString(sum[:]), service)
}

// await polls until the condition holds. It has no deadline other than the timeout of the test run.
func await(t testing.TB, condition func() bool) {
	t.Helper()
	for !condition() {
		select {
		case <-t.Context().Done():
			t.Fatal("test ended before the condition held")
		case <-time.After(time.Millisecond):
		}
	}
}

func newRequest(t testing.TB, method, url string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, nil)
	is.New(t).NoErr(err)
	r.Header.Set("Authorization", "Bearer "+token)
	return r
}
