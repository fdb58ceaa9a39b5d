// Package tlsfiles builds TLS configurations from certificate and key files.
// Changed files are reloaded at the next handshake.
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

// MaxFileSize is the maximum size of each file, in bytes.
const MaxFileSize = 1 << 20

// Files contains the paths of the PEM files for one side of a connection.
type Files struct {
	// Certificate is the file of the own certificate and its intermediates, Key
	// that of its private key. Both may be empty for a client without a
	// certificate.
	Certificate, Key string
	// Authority is the file of the authority's certificates against which the
	// peer's certificate is verified. It may be empty for a server that requests
	// no certificate.
	Authority string
}

func (f *Files) paths() []string {
	var paths []string
	for _, path := range []string{f.Certificate, f.Key, f.Authority} {
		if path != "" {
			paths = append(paths, path)
		}
	}
	return paths
}

// Source provides the contents of the files and reloads them when they change.
type Source struct {
	files Files
	// onError receives the errors of reloading changed files; it may be nil.
	onError func(error)

	mu      sync.Mutex
	states  []fileState
	current *contents
}

// fileState is compared to detect that a file has changed.
type fileState struct {
	modified time.Time
	size     int64
}

// contents is what was last read from the files.
type contents struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

var errNoCertificate = errors.New("no certificate configured")

// Open reads the files. If reloading a changed file fails later, onError gets
// the error and the contents read before stay in use.
func Open(files Files, onError func(error)) (*Source, error) {
	s := &Source{files: files, onError: onError}
	states, err := s.stat()
	if err != nil {
		return nil, err
	}
	loaded, err := s.read()
	if err != nil {
		return nil, err
	}
	s.states, s.current = states, loaded
	return s, nil
}

// contents returns the contents of the files, reloaded if the files changed.
func (s *Source) contents() *contents {
	s.mu.Lock()
	defer s.mu.Unlock()
	states, err := s.stat()
	if err == nil && statesEqual(states, s.states) {
		return s.current
	}
	var loaded *contents
	if err == nil {
		loaded, err = s.read()
	}
	if err != nil {
		if s.onError != nil {
			s.onError(err)
		}
		return s.current
	}
	s.states, s.current = states, loaded
	return loaded
}

func (s *Source) stat() ([]fileState, error) {
	var states []fileState
	for _, path := range s.files.paths() {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		if info.Size() > MaxFileSize {
			return nil, fmt.Errorf("%s: file has %d bytes, want at most %d", path, info.Size(), MaxFileSize)
		}
		states = append(states, fileState{modified: info.ModTime(), size: info.Size()})
	}
	return states, nil
}

func statesEqual(a, b []fileState) bool {
	for i := range a {
		if !a[i].modified.Equal(b[i].modified) || a[i].size != b[i].size {
			return false
		}
	}
	return true
}

func (s *Source) read() (*contents, error) {
	loaded := &contents{}
	if s.files.Certificate != "" {
		c, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
		if err != nil {
			return nil, fmt.Errorf("%s with %s: %w", s.files.Certificate, s.files.Key, err)
		}
		loaded.certificate = &c
	}
	if s.files.Authority == "" {
		return loaded, nil
	}
	pem, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return nil, err
	}
	loaded.authority = x509.NewCertPool()
	if !loaded.authority.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("%s: contains no PEM certificate", s.files.Authority)
	}
	return loaded, nil
}
