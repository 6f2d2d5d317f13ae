package tlsfiles

import (
	"context"
	"crypto/tls"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"egretline.example/egretline/pkg/standin/authority"
)

func newAuthority(t *testing.T) *authority.Authority {
	t.Helper()
	a, err := authority.New()
	is.New(t).NoErr(err)
	return a
}

func writeFiles(t *testing.T, a *authority.Authority, dir string, serial int64) Files {
	t.Helper()
	p, err := a.WriteCertificate(dir, serial)
	is.New(t).NoErr(err)
	return Files(p)
}

// startListener starts a TLS listener that sends the result of each handshake to the channel.
func startListener(t *testing.T, s *Source) (address string, handshakes chan error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", s.Server())
	is.New(t).NoErr(err)
	t.Cleanup(func() { l.Close() })
	handshakes = make(chan error, 16)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			handshakes <- conn.(*tls.Conn).Handshake()
			conn.Close()
		}
	}()
	return l.Addr().String(), handshakes
}

// assertHandshake checks the results of both sides, because a TLS 1.3 client can complete its handshake before the server
// rejects its certificate.
func assertHandshake(t *testing.T, client *Source, address string, handshakes chan error, accepted bool) *tls.Conn {
	t.Helper()
	conn, err := client.Dial(context.Background(), "tcp", address)
	serverErr := <-handshakes
	is.New(t).Equal(err == nil && serverErr == nil, accepted)
	if err != nil {
		return nil
	}
	t.Cleanup(func() { conn.Close() })
	return conn.(*tls.Conn)
}

func newSource(t *testing.T, f Files) *Source {
	t.Helper()
	s, err := New(f)
	is.New(t).NoErr(err)
	return s
}

func TestMutualTLS(t *testing.T) {
	ours := newAuthority(t)
	server := newSource(t, writeFiles(t, ours, t.TempDir(), 2))
	address, handshakes := startListener(t, server)

	t.Run("a certificate of the authority is accepted", func(t *testing.T) {
		assertHandshake(t, newSource(t, writeFiles(t, ours, t.TempDir(), 3)), address, handshakes, true)
	})
	t.Run("a certificate of another authority is refused", func(t *testing.T) {
		other := writeFiles(t, newAuthority(t), t.TempDir(), 4)
		other.Authority = server.files.Authority
		assertHandshake(t, newSource(t, other), address, handshakes, false)
	})
	t.Run("a server of another authority is refused", func(t *testing.T) {
		foreign, foreignHandshakes := startListener(t, newSource(t, writeFiles(t, newAuthority(t), t.TempDir(), 5)))
		assertHandshake(t, server, foreign, foreignHandshakes, false)
	})
}

// Guards against a node that runs longer than the validity of its certificate and keeps serving the expired one.
func TestReload(t *testing.T) {
	dir := t.TempDir()
	ours := newAuthority(t)
	s := newSource(t, writeFiles(t, ours, dir, 10))
	address, handshakes := startListener(t, s)

	t.Run("unchanged files change nothing", func(t *testing.T) {
		is := is.New(t)
		before := s.current().server
		changed, err := s.Reload()
		is.NoErr(err)
		is.Equal(changed, false)
		is.True(before == s.current().server)
	})
	t.Run("new connections get the new certificate", func(t *testing.T) {
		is := is.New(t)
		writeFiles(t, ours, dir, 11)
		changed, err := s.Reload()
		is.NoErr(err)
		is.True(changed)
		conn := assertHandshake(t, s, address, handshakes, true)
		is.Equal(conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), int64(11))
	})
	t.Run("a half-written file keeps the earlier certificate", func(t *testing.T) {
		is := is.New(t)
		is.NoErr(os.WriteFile(s.files.Certificate, []byte("-----BEGIN"), 0o600))
		_, err := s.Reload()
		is.True(errors.As(err, &FileError{}))
		assertHandshake(t, s, address, handshakes, true)
	})
	t.Run("a missing file is reported", func(t *testing.T) {
		_, err := New(Files{Certificate: filepath.Join(dir, "none.pem"), Key: s.files.Key})
		is.New(t).True(errors.As(err, &FileError{}))
	})
	t.Run("an authority without certificates is reported", func(t *testing.T) {
		f := writeFiles(t, ours, t.TempDir(), 12)
		f.Authority = f.Key
		_, err := New(f)
		is.New(t).True(errors.As(err, &NoCertificateError{}))
	})
}
