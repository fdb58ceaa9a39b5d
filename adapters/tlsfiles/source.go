// Package tlsfiles makes TLS configurations whose keys come from files. The
// files are read again at the first handshake after they changed.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// MaxFileSize bounds each file, in bytes.
const MaxFileSize = 1 << 20

// Files names the files of one side of a connection, all in PEM.
type Files struct {
	// Certificate holds the own certificate and those that lead to its
	// authority, Key its private key. Both may be empty for a client that has
	// none.
	Certificate, Key string
	// Authority holds the certificates of the authority that the other side's
	// certificate must come from. It may be empty for a server that asks for
	// none.
	Authority string
}

func (f *Files) names() []string {
	var names []string
	for _, name := range []string{f.Certificate, f.Key, f.Authority} {
		if name != "" {
			names = append(names, name)
		}
	}
	return names
}

// Source holds what the files contain.
type Source struct {
	files Files
	// failed takes the errors of reading changed files; it may be nil.
	failed func(error)

	mu      sync.Mutex
	stamps  []stamp
	current *material
}

// stamp tells one state of a file from the next.
type stamp struct {
	modified time.Time
	size     int64
}

// material is the content of the files at one time.
type material struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

var errNoCertificate = errors.New("no certificate is set")

// Open reads the files. Later failures to read changed files are given to
// failed, and the content read before stays in use.
func Open(files Files, failed func(error)) (*Source, error) {
	s := &Source{files: files, failed: failed}
	stamps, err := s.stat()
	if err != nil {
		return nil, err
	}
	m, err := s.read()
	if err != nil {
		return nil, err
	}
	s.stamps, s.current = stamps, m
	return s, nil
}

// material returns the content of the files, read again if they changed.
func (s *Source) material() *material {
	s.mu.Lock()
	defer s.mu.Unlock()
	stamps, err := s.stat()
	if err == nil && equal(stamps, s.stamps) {
		return s.current
	}
	var m *material
	if err == nil {
		m, err = s.read()
	}
	if err != nil {
		if s.failed != nil {
			s.failed(err)
		}
		return s.current
	}
	s.stamps, s.current = stamps, m
	return m
}

func (s *Source) stat() ([]stamp, error) {
	var stamps []stamp
	for _, name := range s.files.names() {
		info, err := os.Stat(name)
		if err != nil {
			return nil, err
		}
		if info.Size() > MaxFileSize {
			return nil, fmt.Errorf("%s: has %d bytes; at most %d are read", name, info.Size(), MaxFileSize)
		}
		stamps = append(stamps, stamp{modified: info.ModTime(), size: info.Size()})
	}
	return stamps, nil
}

func equal(a, b []stamp) bool {
	for i := range a {
		if !a[i].modified.Equal(b[i].modified) || a[i].size != b[i].size {
			return false
		}
	}
	return true
}

func (s *Source) read() (*material, error) {
	m := &material{}
	if s.files.Certificate != "" {
		c, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
		if err != nil {
			return nil, fmt.Errorf("%s with %s: %w", s.files.Certificate, s.files.Key, err)
		}
		m.certificate = &c
	}
	if s.files.Authority == "" {
		return m, nil
	}
	pem, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return nil, err
	}
	m.authority = x509.NewCertPool()
	if !m.authority.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s: holds no certificate in PEM", s.files.Authority)
	}
	return m, nil
}
