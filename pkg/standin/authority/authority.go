// Package authority is a stand-in of a certificate authority for demonstrations and tests.
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
	validity = time.Hour
	fileMode = 0o600
)

// Authority signs certificates.
type Authority struct {
	Certificate *x509.Certificate
	Key         *ecdsa.PrivateKey
}

// CertificatePaths names the files of one certificate.
type CertificatePaths struct {
	Certificate string
	Key         string
	Authority   string
}

// New returns an authority with a new key.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate key of authority")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-validity), NotAfter: time.Now().Add(validity), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "create certificate of authority")
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{Certificate: certificate, Key: key}, eris.Wrap(err, "parse certificate of authority")
}

// WriteCertificate writes a certificate for 127.0.0.1 with the serial number, its key and the certificate of the authority to the
// directory. Files of an earlier call are replaced.
func (a *Authority) WriteCertificate(dir string, serial int64) (CertificatePaths, error) {
	p := CertificatePaths{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return p, eris.Wrap(err, "generate key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-validity), NotAfter: time.Now().Add(validity),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.Certificate, &key.PublicKey, a.Key)
	if err != nil {
		return p, eris.Wrap(err, "create certificate")
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return p, eris.Wrap(err, "encode key")
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
