package tlsfiles

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// authority signs certificates of tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	certificate, err := x509.ParseCertificate(der)
	is.NoErr(err)
	return authority{certificate: certificate, key: key}
}

// write writes a certificate for 127.0.0.1 with the serial number, its key and the authority to the directory.
func (a authority) write(t *testing.T, dir string, serial int64) Files {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	is.NoErr(err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	f := Files{
		Certificate: filepath.Join(dir, "certificate.pem"), Key: filepath.Join(dir, "key.pem"),
		Authority: filepath.Join(dir, "authority.pem"),
	}
	writePEM(t, f.Certificate, "CERTIFICATE", der)
	writePEM(t, f.Key, "EC PRIVATE KEY", keyDER)
	writePEM(t, f.Authority, "CERTIFICATE", a.certificate.Raw)
	return f
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	is.New(t).NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// listen accepts connections, and reports the result of each handshake.
func listen(t *testing.T, s *Source) (address string, handshakes chan error) {
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

// assertHandshake checks both sides: a client of TLS 1.3 learns late that the server refused its certificate.
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
	server := newSource(t, ours.write(t, t.TempDir(), 2))
	address, handshakes := listen(t, server)

	t.Run("a certificate of the authority is accepted", func(t *testing.T) {
		assertHandshake(t, newSource(t, ours.write(t, t.TempDir(), 3)), address, handshakes, true)
	})
	t.Run("a certificate of another authority is refused", func(t *testing.T) {
		other := newAuthority(t).write(t, t.TempDir(), 4)
		other.Authority = server.files.Authority
		assertHandshake(t, newSource(t, other), address, handshakes, false)
	})
	t.Run("a server of another authority is refused", func(t *testing.T) {
		foreign, foreignHandshakes := listen(t, newSource(t, newAuthority(t).write(t, t.TempDir(), 5)))
		assertHandshake(t, server, foreign, foreignHandshakes, false)
	})
}

// Guards against a certificate that expires on a node that runs for longer than the certificate.
func TestReload(t *testing.T) {
	dir := t.TempDir()
	ours := newAuthority(t)
	s := newSource(t, ours.write(t, dir, 10))
	address, handshakes := listen(t, s)

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
		ours.write(t, dir, 11)
		changed, err := s.Reload()
		is.NoErr(err)
		is.True(changed)
		conn := assertHandshake(t, s, address, handshakes, true)
		is.Equal(conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), int64(11))
	})
	t.Run("a half-written file keeps the certificate in force", func(t *testing.T) {
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
		f := ours.write(t, t.TempDir(), 12)
		f.Authority = f.Key
		_, err := New(f)
		is.New(t).True(errors.As(err, &NoCertificateError{}))
	})
}
