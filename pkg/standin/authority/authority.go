// Package authority implements a certificate authority for demonstrations and tests.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// certificateLifetime is the time of validity before and after the creation of a certificate.
	certificateLifetime = time.Hour
	fileMode            = 0o600
)

// Authority signs certificates.
type Authority struct {
	Certificate *x509.Certificate
	Key         *ecdsa.PrivateKey
}

// CertificatePaths holds the paths of the PEM files of one certificate. Authority is the CA certificate.
type CertificatePaths struct {
	Certificate string
	Key         string
	Authority   string
}

// New returns an authority with a new key and a self-signed certificate.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate CA key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-certificateLifetime), NotAfter: time.Now().Add(certificateLifetime), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "create CA certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{Certificate: certificate, Key: key}, eris.Wrap(err, "parse CA certificate")
}

// WriteCertificate creates a key and a certificate for 127.0.0.1 with the serial number, and writes them and the
// certificate of the authority to the directory. It replaces the files of an earlier call.
func (a *Authority) WriteCertificate(dir string, serial int64) (CertificatePaths, error) {
	p := CertificatePaths{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return p, eris.Wrap(err, "generate certificate key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-certificateLifetime), NotAfter: time.Now().Add(certificateLifetime),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.Certificate, &key.PublicKey, a.Key)
	if err != nil {
		return p, eris.Wrap(err, "create certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return p, eris.Wrap(err, "encode certificate key")
	}
	for _, f := range []struct {
		path, kind string
		der        []byte
	}{
		{p.Certificate, "CERTIFICATE", der},
		{p.Key, "EC PRIVATE KEY", keyDER},
		{p.Authority, "CERTIFICATE", a.Certificate.Raw},
	} {
		if err := os.WriteFile(f.path, pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.der}), fileMode); err != nil {
			return p, eris.Wrap(err, "write certificate file")
		}
	}
	return p, nil
}
