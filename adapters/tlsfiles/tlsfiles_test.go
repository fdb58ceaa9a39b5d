package tlsfiles_test

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"

	"fescuehoist.example/adapters/tlsfiles"
	"fescuehoist.example/standin/authority"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// endpoint has the files of one daemon.
type endpoint struct {
	folder string
	files  tlsfiles.Files
}

func newAuthority(t *testing.T) *authority.Authority {
	t.Helper()
	a, err := authority.New("mesh")
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// newEndpoint writes files with a certificate issued by from and trusts as the
// trusted authority.
func newEndpoint(t *testing.T, from, trusts *authority.Authority) *endpoint {
	t.Helper()
	e := &endpoint{folder: t.TempDir()}
	e.issue(t, from)
	if err := trusts.WriteCertificate(e.files.Authority); err != nil {
		t.Fatal(err)
	}
	return e
}

// issue writes a new certificate of from, its key and the certificate of from.
func (e *endpoint) issue(t *testing.T, from *authority.Authority) {
	t.Helper()
	files, err := from.IssueAll(e.folder, "daemon", net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	e.files = tlsfiles.Files(files)
}

func (e *endpoint) open(t *testing.T) *tlsfiles.Source {
	t.Helper()
	source, err := tlsfiles.Open(e.files, func(err error) { t.Log(err) })
	if err != nil {
		t.Fatal(err)
	}
	return source
}

// exchange connects a client to a server, sends one byte each way and returns
// the serial number of the server's certificate and the errors of both sides.
func exchange(t *testing.T, server, client *tls.Config) (serial string, serverErr, clientErr error) {
	t.Helper()
	ln, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() {
		c, err := ln.Accept()
		if err == nil {
			_, err = io.CopyN(c, c, 1)
			_ = c.Close()
		}
		done <- err
	}()
	c, clientErr := tlsfiles.Dial(nil, client)(context.Background(), "tcp", ln.Addr().String())
	if clientErr == nil {
		serial = c.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.String()
		_, clientErr = c.Write([]byte("x"))
		if clientErr == nil {
			_, clientErr = c.Read(make([]byte, 1))
		}
		_ = c.Close()
	}
	serverErr = <-done
	_ = ln.Close()
	return serial, serverErr, clientErr
}

func TestMutualTLSRequiresCertificateOfMeshAuthority(t *testing.T) {
	mesh, other := newAuthority(t), newAuthority(t)
	for _, c := range []struct {
		path           string
		server, client *endpoint
		refused        bool
	}{
		{"both of mesh authority", newEndpoint(t, mesh, mesh), newEndpoint(t, mesh, mesh), false},
		{"client of another authority", newEndpoint(t, mesh, mesh), newEndpoint(t, other, mesh), true},
		{"server of another authority", newEndpoint(t, other, mesh), newEndpoint(t, mesh, mesh), true},
	} {
		t.Run(c.path, func(t *testing.T) {
			_, serverErr, clientErr := exchange(t, c.server.open(t).MutualServerConfig(), c.client.open(t).ClientConfig(""))
			if refused := serverErr != nil && clientErr != nil; refused != c.refused {
				t.Errorf("server error %v, client error %v", serverErr, clientErr)
			}
		})
	}
	t.Run("client without a certificate", func(t *testing.T) {
		client := &endpoint{files: tlsfiles.Files{Authority: newEndpoint(t, mesh, mesh).files.Authority}}
		_, serverErr, _ := exchange(t, newEndpoint(t, mesh, mesh).open(t).MutualServerConfig(), client.open(t).ClientConfig(""))
		if serverErr == nil {
			t.Error("server accepted a client without a certificate")
		}
	})
	t.Run("caller without a certificate", func(t *testing.T) {
		client := &endpoint{files: tlsfiles.Files{Authority: newEndpoint(t, mesh, mesh).files.Authority}}
		_, serverErr, clientErr := exchange(t, newEndpoint(t, mesh, mesh).open(t).ServerConfig(), client.open(t).ClientConfig("127.0.0.1"))
		if err := errors.Join(serverErr, clientErr); err != nil {
			t.Error(err)
		}
	})
	t.Run("server certificate for another name", func(t *testing.T) {
		_, _, clientErr := exchange(t, newEndpoint(t, mesh, mesh).open(t).ServerConfig(), newEndpoint(t, mesh, mesh).open(t).ClientConfig("10.9.9.9"))
		if clientErr == nil {
			t.Error("client accepted a certificate for another name")
		}
	})
}

func TestSourceReloadsRotatedFiles(t *testing.T) {
	old, rotated := newAuthority(t), newAuthority(t)
	server, client := newEndpoint(t, old, old), newEndpoint(t, old, old)
	serverConfig, clientConfig := server.open(t).MutualServerConfig(), client.open(t).ClientConfig("")
	first, serverErr, clientErr := exchange(t, serverConfig, clientConfig)
	if err := errors.Join(serverErr, clientErr); err != nil {
		t.Fatal(err)
	}
	server.issue(t, old)
	setModTimes(t, server, time.Minute)
	second, serverErr, clientErr := exchange(t, serverConfig, clientConfig)
	if err := errors.Join(serverErr, clientErr); err != nil || second == first {
		t.Errorf("error %v, serial number %s, want another than %s", err, second, first)
	}
	for _, e := range []*endpoint{server, client} {
		e.issue(t, rotated)
		setModTimes(t, e, 2*time.Minute)
	}
	_, serverErr, clientErr = exchange(t, serverConfig, clientConfig)
	if err := errors.Join(serverErr, clientErr); err != nil {
		t.Errorf("after rotation of the authority: %v", err)
	}
}

// setModTimes moves the files' modification times by offset, so that a change is
// detected on file systems with coarse timestamps too.
func setModTimes(t *testing.T, e *endpoint, offset time.Duration) {
	t.Helper()
	for _, path := range []string{e.files.Certificate, e.files.Key, e.files.Authority} {
		at := time.Now().Add(offset)
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
	}
}

func TestSourceKeepsKeysWhenFilesAreUnreadable(t *testing.T) {
	mesh := newAuthority(t)
	e := newEndpoint(t, mesh, mesh)
	failures := 0
	source, err := tlsfiles.Open(e.files, func(error) { failures++ })
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(e.files.Certificate, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, serverErr, clientErr := exchange(t, source.MutualServerConfig(), newEndpoint(t, mesh, mesh).open(t).ClientConfig(""))
	if err := errors.Join(serverErr, clientErr); err != nil || failures == 0 {
		t.Errorf("error %v, %d failures reported, want no error and at least 1 failure", err, failures)
	}
	if _, err := tlsfiles.Open(e.files, nil); err == nil {
		t.Error("Open succeeded with an unreadable certificate")
	}
}
