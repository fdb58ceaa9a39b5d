// Package authority is a stand-in for a certificate authority. It writes
// short-lived certificates to files, as the tools of a deployment would.
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
)

// lifetime is how long certificates are valid from their creation.
const lifetime = 24 * time.Hour

// Authority signs certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// New returns an authority with a new key.
func New(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := newTemplate(name, 1)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{certificate: certificate, key: key, serial: 1}, err
}

// newTemplate returns a template for a certificate that is valid from an hour ago
// until lifetime from now.
func newTemplate(name string, serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(lifetime),
	}
}

// WriteCertificate writes the authority's own certificate to a file.
func (a *Authority) WriteCertificate(file string) error {
	return writePEM(file, "CERTIFICATE", a.certificate.Raw)
}

// Pair holds the paths of a certificate and its key.
type Pair struct{ Certificate, Key string }

// Issue issues a certificate for a DNS name and IP addresses, and writes it and
// its key to a folder as NAME.crt and NAME.key.
func (a *Authority) Issue(folder, name string, addresses ...net.IP) (Pair, error) {
	pair := Pair{Certificate: filepath.Join(folder, name+".crt"), Key: filepath.Join(folder, name+".key")}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return pair, err
	}
	a.serial++
	template := newTemplate(name, a.serial)
	template.DNSNames = []string{name}
	template.IPAddresses = addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return pair, err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return pair, err
	}
	if err := writePEM(pair.Key, "PRIVATE KEY", private); err != nil {
		return pair, err
	}
	return pair, writePEM(pair.Certificate, "CERTIFICATE", der)
}

// Files holds the paths of the TLS files of a daemon.
type Files struct{ Certificate, Key, Authority string }

// IssueAll issues a certificate like Issue and also writes the authority's own
// certificate to the folder as authority.crt.
func (a *Authority) IssueAll(folder, name string, addresses ...net.IP) (Files, error) {
	files := Files{Authority: filepath.Join(folder, "authority.crt")}
	if err := a.WriteCertificate(files.Authority); err != nil {
		return files, err
	}
	pair, err := a.Issue(folder, name, addresses...)
	files.Certificate, files.Key = pair.Certificate, pair.Key
	return files, err
}

// writePEM writes DER data to a file as a PEM block of the given kind.
func writePEM(file, kind string, der []byte) error {
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
