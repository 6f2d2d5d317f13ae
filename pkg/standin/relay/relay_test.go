package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a relay that loses, reorders or adds bytes, or that passes bytes during a cut. A failure test would then
// run under other conditions than it states.
func TestRelay(t *testing.T) {
	t.Run("bytes pass both ways and the end is passed on", func(t *testing.T) {
		_, client, server := connect(t)
		assertPasses(t, client, server)
		assertPasses(t, server, client)
		is := is.New(t)
		is.NoErr(client.(*net.TCPConn).CloseWrite())
		rest, err := io.ReadAll(server)
		is.NoErr(err)
		is.Equal(len(rest), 0)
	})
	t.Run("a cut towards the target leaves the other direction", func(t *testing.T) {
		r, client, server := connect(t)
		r.SetFaults(Faults{CutToTarget: true})
		assertWithheld(t, r, Faults{}, client, server)
		assertPasses(t, server, client)
	})
	t.Run("a cut towards the client leaves the other direction", func(t *testing.T) {
		r, client, server := connect(t)
		r.SetFaults(Faults{CutToClient: true})
		assertPasses(t, client, server)
		assertWithheld(t, r, Faults{}, server, client)
	})
	t.Run("a delay holds bytes", func(t *testing.T) {
		r, client, server := connect(t)
		r.SetFaults(Faults{DelayMs: 20})
		sent := time.Now()
		assertPasses(t, client, server)
		is.New(t).True(time.Since(sent) >= 20*time.Millisecond)
	})
	t.Run("refusal resets old and new connections", func(t *testing.T) {
		r, client, _ := connect(t)
		r.SetFaults(Faults{Refuse: true})
		_, err := client.Read(make([]byte, 1))
		is.New(t).True(err != nil && !errors.Is(err, io.EOF))
	})
}

// Guards against accepting a misspelled fault or relay name, which would leave the connection without a fault.
func TestControl(t *testing.T) {
	r := New("127.0.0.1:1")
	c := Control{Relays: map[string]*Relay{"a": r}}
	assertStatus := func(t *testing.T, path, body string, want int) {
		t.Helper()
		w := httptest.NewRecorder()
		c.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		is.New(t).Equal(w.Code, want)
	}
	t.Run("unknown relay", func(t *testing.T) { assertStatus(t, "/relays/b", `{}`, http.StatusNotFound) })
	t.Run("unknown fault", func(t *testing.T) { assertStatus(t, "/relays/a", `{"cut":true}`, http.StatusBadRequest) })
	t.Run("known fault", func(t *testing.T) {
		assertStatus(t, "/relays/a", `{"cut-to-target":true}`, http.StatusNoContent)
		is.New(t).True(r.Faults().CutToTarget)
	})
}

// connect returns a relay and both ends of a connection through it.
func connect(t *testing.T) (r *Relay, client, server net.Conn) {
	t.Helper()
	is := is.New(t)
	back := listen(t)
	front := listen(t)
	r = New(back.Addr().String())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- r.Serve(ctx, front) }()
	t.Cleanup(func() {
		cancel()
		is.NoErr(<-ended)
	})
	client, err := net.Dial("tcp", front.Addr().String())
	is.NoErr(err)
	server, err = back.Accept()
	is.NoErr(err)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return r, client, server
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { l.Close() })
	return l
}

func assertPasses(t *testing.T, from, to net.Conn) {
	t.Helper()
	is := is.New(t)
	const message = "some bytes"
	_, err := from.Write([]byte(message))
	is.NoErr(err)
	got := make([]byte, len(message))
	_, err = io.ReadFull(to, got)
	is.NoErr(err)
	is.Equal(string(got), message)
}

// assertWithheld checks that no byte arrives until the faults are replaced by cleared.
func assertWithheld(t *testing.T, r *Relay, cleared Faults, from, to net.Conn) {
	t.Helper()
	is := is.New(t)
	_, err := from.Write([]byte("x"))
	is.NoErr(err)
	is.NoErr(to.SetReadDeadline(time.Now().Add(20 * time.Millisecond)))
	_, err = to.Read(make([]byte, 1))
	is.True(err != nil) // nothing arrives during the cut
	is.NoErr(to.SetReadDeadline(time.Time{}))
	r.SetFaults(cleared)
	got := make([]byte, 1)
	_, err = io.ReadFull(to, got)
	is.NoErr(err)
	is.Equal(string(got), "x")
}
