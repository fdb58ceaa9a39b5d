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

// side is the files of one daemon.
type side struct {
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

// newSide writes files with a certificate of one authority that trust another.
func newSide(t *testing.T, from, trusts *authority.Authority) *side {
	t.Helper()
	s := &side{folder: t.TempDir()}
	s.renew(t, from)
	if err := trusts.WriteCertificate(s.files.Authority); err != nil {
		t.Fatal(err)
	}
	return s
}

// renew writes a new certificate and that of its authority.
func (s *side) renew(t *testing.T, from *authority.Authority) {
	t.Helper()
	files, err := from.IssueAll(s.folder, "daemon", net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	s.files = tlsfiles.Files(files)
}

func (s *side) open(t *testing.T) *tlsfiles.Source {
	t.Helper()
	source, err := tlsfiles.Open(s.files, func(err error) { t.Log(err) })
	if err != nil {
		t.Fatal(err)
	}
	return source
}

// exchange connects a client to a server, sends one byte each way and returns
// the errors of both sides and the server's certificate.
func exchange(t *testing.T, server, client *tls.Config) (serial string, serverErr, clientErr error) {
	t.Helper()
	ln, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		c, err := ln.Accept()
		if err == nil {
			_, err = io.CopyN(c, c, 1)
			_ = c.Close()
		}
		ended <- err
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
	serverErr = <-ended
	_ = ln.Close()
	return serial, serverErr, clientErr
}

func TestBothSidesNeedACertificateOfTheMeshsAuthority(t *testing.T) {
	mesh, other := newAuthority(t), newAuthority(t)
	for _, c := range []struct {
		name           string
		server, client *side
		refused        bool
	}{
		{"both of the mesh", newSide(t, mesh, mesh), newSide(t, mesh, mesh), false},
		{"client of another authority", newSide(t, mesh, mesh), newSide(t, other, mesh), true},
		{"server of another authority", newSide(t, other, mesh), newSide(t, mesh, mesh), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, serverErr, clientErr := exchange(t, c.server.open(t).MutualServerConfig(), c.client.open(t).ClientConfig(""))
			if refused := serverErr != nil && clientErr != nil; refused != c.refused {
				t.Errorf("server error %v, client error %v", serverErr, clientErr)
			}
		})
	}
	t.Run("client without a certificate", func(t *testing.T) {
		client := &side{files: tlsfiles.Files{Authority: newSide(t, mesh, mesh).files.Authority}}
		_, serverErr, _ := exchange(t, newSide(t, mesh, mesh).open(t).MutualServerConfig(), client.open(t).ClientConfig(""))
		if serverErr == nil {
			t.Error("accepted")
		}
	})
	t.Run("caller without a certificate", func(t *testing.T) {
		client := &side{files: tlsfiles.Files{Authority: newSide(t, mesh, mesh).files.Authority}}
		_, serverErr, clientErr := exchange(t, newSide(t, mesh, mesh).open(t).ServerConfig(), client.open(t).ClientConfig("127.0.0.1"))
		if err := errors.Join(serverErr, clientErr); err != nil {
			t.Error(err)
		}
	})
	t.Run("platform with another name", func(t *testing.T) {
		_, _, clientErr := exchange(t, newSide(t, mesh, mesh).open(t).ServerConfig(), newSide(t, mesh, mesh).open(t).ClientConfig("10.9.9.9"))
		if clientErr == nil {
			t.Error("accepted")
		}
	})
}

func TestRotatedFilesArePickedUp(t *testing.T) {
	old, renewed := newAuthority(t), newAuthority(t)
	server, client := newSide(t, old, old), newSide(t, old, old)
	serverConfig, clientConfig := server.open(t).MutualServerConfig(), client.open(t).ClientConfig("")
	first, serverErr, clientErr := exchange(t, serverConfig, clientConfig)
	if err := errors.Join(serverErr, clientErr); err != nil {
		t.Fatal(err)
	}
	server.renew(t, old)
	touch(t, server, time.Minute)
	second, serverErr, clientErr := exchange(t, serverConfig, clientConfig)
	if err := errors.Join(serverErr, clientErr); err != nil || second == first {
		t.Errorf("error %v, certificate %s after %s", err, second, first)
	}
	for _, s := range []*side{server, client} {
		s.renew(t, renewed)
		touch(t, s, 2*time.Minute)
	}
	_, serverErr, clientErr = exchange(t, serverConfig, clientConfig)
	if err := errors.Join(serverErr, clientErr); err != nil {
		t.Errorf("after a new authority: %v", err)
	}
}

// touch sets the files' times apart from earlier ones whatever the clock's grain.
func touch(t *testing.T, s *side, ahead time.Duration) {
	t.Helper()
	for _, name := range []string{s.files.Certificate, s.files.Key, s.files.Authority} {
		at := time.Now().Add(ahead)
		if err := os.Chtimes(name, at, at); err != nil {
			t.Fatal(err)
		}
	}
}

func TestUnreadableFilesKeepTheKeysInUse(t *testing.T) {
	mesh := newAuthority(t)
	s := newSide(t, mesh, mesh)
	failures := 0
	source, err := tlsfiles.Open(s.files, func(error) { failures++ })
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(s.files.Certificate, []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, serverErr, clientErr := exchange(t, source.MutualServerConfig(), newSide(t, mesh, mesh).open(t).ClientConfig(""))
	if err := errors.Join(serverErr, clientErr); err != nil || failures == 0 {
		t.Errorf("error %v, %d failures told", err, failures)
	}
	if _, err := tlsfiles.Open(s.files, nil); err == nil {
		t.Error("opened with a certificate that cannot be read")
	}
}
