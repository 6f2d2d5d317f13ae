// Package tlsfiles reads certificates from files and serves TLS with them. Changed files take effect without a restart.
package tlsfiles

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"egretline.example/egretline/pkg/guard"
)

const (
	rankState guard.Rank = 1
	// dialTimeout bounds the connection and the handshake together.
	dialTimeout = 2 * time.Second
)

// Files names PEM files. Without an authority, clients are not asked for certificates.
type Files struct {
	Certificate string
	Key         string
	// Authority holds the certificates that sign those of the other side.
	Authority string
}

// FileError reports certificate files that cannot be used.
type FileError struct {
	Path  string
	Cause error
}

func (e FileError) Error() string {
	return fmt.Sprintf("certificate file %s: %v", e.Path, e.Cause)
}

// Unwrap returns the error of the file or of its contents.
func (e FileError) Unwrap() error { return e.Cause }

// NoCertificateError reports an authority file without certificates.
type NoCertificateError struct{}

func (NoCertificateError) Error() string { return "no PEM certificate found" }

// contents is what the files held at one time.
type contents struct {
	certificate, key, authority []byte
}

type state struct {
	contents contents
	// server and client are replaced as a whole, so that connections keep what they started with.
	server *tls.Config
	client *tls.Config
}

// Source is the certificates of one listener or of the connections to other nodes.
type Source struct {
	files Files
	state *guard.Guard[state]
}

// New reads the files. It returns FileError.
func New(f Files) (*Source, error) {
	s := &Source{files: f, state: guard.New(rankState, state{})}
	_, err := s.Reload()
	return s, err
}

// Reload reads the files again and returns whether they have changed. With an error, which is FileError, the earlier
// certificates stay in force.
func (s *Source) Reload() (bool, error) {
	c, err := read(s.files)
	if err != nil {
		return false, err
	}
	next, err := build(s.files, c)
	if err != nil {
		return false, err
	}
	var changed bool
	s.state.Write(guard.Held{}, func(_ guard.Held, current *state) {
		changed = !equal(current.contents, c)
		// An unchanged configuration is kept, because replacing it would end the resumption of sessions.
		if changed {
			*current = next
		}
	})
	return changed, nil
}

// Server returns the configuration of a listener. Each new connection uses the certificates in force.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.current().server, nil
		},
	}
}

// Dial opens a connection with the certificates in force and completes the handshake.
func (s *Source) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := &tls.Dialer{NetDialer: &net.Dialer{Timeout: dialTimeout}, Config: s.current().client}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return d.DialContext(ctx, network, address)
}

func (s *Source) current() state {
	var current state
	s.state.Read(guard.Held{}, func(_ guard.Held, st *state) { current = *st })
	return current
}

func read(f Files) (contents, error) {
	var c contents
	for _, one := range []struct {
		path string
		into *[]byte
	}{
		{f.Certificate, &c.certificate},
		{f.Key, &c.key},
		{f.Authority, &c.authority},
	} {
		if one.path == "" {
			continue
		}
		data, err := os.ReadFile(one.path)
		if err != nil {
			return contents{}, eris.Wrap(FileError{Path: one.path, Cause: err}, "read certificates")
		}
		*one.into = data
	}
	return c, nil
}

func build(f Files, c contents) (state, error) {
	pair, err := tls.X509KeyPair(c.certificate, c.key)
	if err != nil {
		return state{}, eris.Wrap(FileError{Path: f.Certificate, Cause: err}, "load certificate and key")
	}
	next := state{
		contents: c,
		server:   &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}, NextProtos: []string{"http/1.1"}},
		client:   &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}},
	}
	if f.Authority == "" {
		return next, nil
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(c.authority) {
		return state{}, eris.Wrap(FileError{Path: f.Authority, Cause: NoCertificateError{}}, "load authority")
	}
	next.server.ClientCAs = roots
	next.server.ClientAuth = tls.RequireAndVerifyClientCert
	next.client.RootCAs = roots
	return next, nil
}

func equal(a, b contents) bool {
	return bytes.Equal(a.certificate, b.certificate) && bytes.Equal(a.key, b.key) && bytes.Equal(a.authority, b.authority)
}
