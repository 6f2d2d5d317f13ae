package node

import (
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/standin/authority"
	"egretline.example/egretline/pkg/standin/backendservice"
	"egretline.example/egretline/service/api"
)

// Guards against messages between nodes that bypass TLS, and against a process without a certificate that poses as a
// node.
func TestMutualTLSBetweenNodes(t *testing.T) {
	is := is.New(t)
	a, err := authority.New()
	is.NoErr(err)
	f := newFleet(t, 1, 0)
	f.GroupSize = 1
	f.Certificates, err = a.WriteCertificate(t.TempDir(), 2)
	is.NoErr(err)
	for i := range 3 {
		f.startNode(t, fmt.Sprintf("n%d", i), "kz-central-0")
	}
	f.applyConfig(t)
	for _, n := range f.Nodes {
		await(t, func() bool { return len(n.Members.Live(time.Now())) == 3 && len(n.Members.Group("rental-desk")) == 1 })
	}

	t.Run("a key is forwarded to its owner", func(t *testing.T) {
		key := f.Nodes[0].Members.KeyPrefix(time.Now()) + ".a"
		for _, n := range f.Nodes {
			assertKeyedOutcome(t, n, key, "answered")
		}
		assertRuns(t, f, 1)
	})
	t.Run("a process without a certificate is refused", func(t *testing.T) {
		response, err := http.Get("http://" + f.Nodes[0].Settings.PeerAddress + api.PathPeerConfig)
		is := is.New(t)
		is.NoErr(err) // a TLS listener responds to plain HTTP with status 400
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, http.StatusBadRequest)
	})
	t.Run("a replaced certificate is loaded", func(t *testing.T) {
		is := is.New(t)
		_, err := a.WriteCertificate(filepath.Dir(f.Certificates.Certificate), 3)
		is.NoErr(err)
		f.Nodes[0].reloadCertificates(t.Context())
		conn, err := f.Nodes[0].certificates.peer.Dial(t.Context(), "tcp", f.Nodes[0].Settings.PeerAddress)
		is.NoErr(err)
		is.NoErr(conn.Close())
	})
}

// Guards against a drain by operator request that cuts off a request in flight or does not stop the node.
func TestDrainOnRequest(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.applyConfig(t)
	for _, b := range f.Backends {
		b.SetFaults(backendservice.Faults{SlowMs: 300})
	}
	n := f.Nodes[0]
	result := make(chan string, 1)
	r := newRequest(t, http.MethodPost, "http://"+n.Settings.CallerAddress+"/loans/1")
	go func() {
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			result <- err.Error()
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		result <- response.Header.Get(api.HeaderOutcome)
	}()
	await(t, func() bool { return totalRuns(f) == 1 })
	is := is.New(t)
	for range 2 { // the second drain request has no effect
		response, err := http.Post("http://"+n.Settings.OperatorAddress+"/operator/drain", "", nil)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, http.StatusAccepted)
	}
	is.Equal(<-result, "answered")
	is.NoErr(<-f.done[0])
	f.done[0] <- nil
}
