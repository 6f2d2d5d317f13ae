package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/fleet"
	"egretline.example/egretline/service/api"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkHeartbeat measures the CPU time of sender and receiver and the HTTP bytes in both directions per heartbeat.
func BenchmarkHeartbeat(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusNoContent)
	}))
	defer server.Close()
	var total atomic.Int64
	client := &Client{Transport: NewTransport(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return countingConn{Conn: conn, bytes: &total}, err
	})}
	to := fleet.Host{ID: "kz-a-02", PeerAddress: strings.TrimPrefix(server.URL, "http://")}
	message := api.Heartbeat{
		Host: api.Host{
			ID: "kz-a-01", Region: "kz-central", AvailabilityZone: "kz-central-a",
			CallerAddress: "10.100.100.100:8080", PeerAddress: "10.100.100.100:8081",
		},
		Incarnation: "1764843256000000000-4294967295", Epoch: 288, Revision: 299_300,
	}
	b.ReportAllocs()
	for b.Loop() {
		is.New(b).NoErr(client.SendHeartbeat(context.Background(), to, message))
	}
	b.ReportMetric(float64(total.Load())/float64(b.N), "wire-bytes/op")
}
