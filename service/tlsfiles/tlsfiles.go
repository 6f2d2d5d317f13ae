// Package tlsfiles loads TLS certificates from files and reloads changed files without a restart.
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
	// dialTimeout covers both the TCP connection and the TLS handshake.
	dialTimeout = 2 * time.Second
)

// Files holds the paths of PEM files. With an empty Authority, servers do not request client certificates.
type Files struct {
	Certificate string
	Key         string
	// Authority is the file with the CA certificates that verify the certificate of the other side.
	Authority string
}

// FileError reports a certificate file that cannot be read or used.
type FileError struct {
	Path  string
	Cause error
}

func (e FileError) Error() string {
	return fmt.Sprintf("certificate file %s: %v", e.Path, e.Cause)
}

// Unwrap returns the error of reading or parsing the file.
func (e FileError) Unwrap() error { return e.Cause }

// NoCertificateError reports a CA file that contains no certificates.
type NoCertificateError struct{}

func (NoCertificateError) Error() string { return "no PEM certificate found" }

// fileContents holds the contents of the files as of the last successful reload.
type fileContents struct {
	certificate, key, authority []byte
}

type state struct {
	contents fileContents
	// server and client are replaced and never modified, because open connections still use the earlier ones.
	server *tls.Config
	client *tls.Config
}

// Source provides the certificates of a listener or of the connections to other nodes.
type Source struct {
	files Files
	state *guard.Guard[state]
}

// New returns a source with the certificates in the files. It returns FileError if they cannot be used.
func New(f Files) (*Source, error) {
	s := &Source{files: f, state: guard.New(rankState, state{})}
	_, err := s.Reload()
	return s, err
}

// Reload reads the files again and reports whether they have changed. On an error, which is FileError, the earlier
// certificates stay in use.
func (s *Source) Reload() (bool, error) {
	c, err := readFiles(s.files)
	if err != nil {
		return false, err
	}
	next, err := newState(s.files, c)
	if err != nil {
		return false, err
	}
	var changed bool
	s.state.Write(guard.Held{}, func(_ guard.Held, current *state) {
		changed = !sameContents(current.contents, c)
		// An unchanged configuration is kept, because replacing it would prevent TLS session resumption.
		if changed {
			*current = next
		}
	})
	return changed, nil
}

// Server returns the TLS configuration of a listener. Each new connection uses the latest certificates.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.current().server, nil
		},
	}
}

// Dial opens a connection with the latest certificates and completes the handshake.
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

func readFiles(f Files) (fileContents, error) {
	var c fileContents
	for _, file := range []struct {
		path     string
		contents *[]byte
	}{
		{f.Certificate, &c.certificate},
		{f.Key, &c.key},
		{f.Authority, &c.authority},
	} {
		if file.path == "" {
			continue
		}
		data, err := os.ReadFile(file.path)
		if err != nil {
			return fileContents{}, eris.Wrap(FileError{Path: file.path, Cause: err}, "read certificates")
		}
		*file.contents = data
	}
	return c, nil
}

func newState(f Files, c fileContents) (state, error) {
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

func sameContents(a, b fileContents) bool {
	return bytes.Equal(a.certificate, b.certificate) && bytes.Equal(a.key, b.key) && bytes.Equal(a.authority, b.authority)
}
