package tlsfiles

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"

	"fescuehoist.example/adapters/httpconn"
)

// MutualServerConfig returns the configuration of a server whose clients must
// present a certificate issued by the authority.
func (s *Source) MutualServerConfig() *tls.Config {
	cfg := s.ServerConfig()
	cfg.ClientAuth = tls.RequireAnyClientCert
	cfg.VerifyConnection = s.verifier(x509.ExtKeyUsageClientAuth, "")
	return cfg
}

// ServerConfig returns the configuration of a server that requests no client
// certificate.
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			if c := s.contents().certificate; c != nil {
				return c, nil
			}
			return nil, errNoCertificate
		},
	}
}

// ClientConfig returns the configuration of a client. The server must present a
// certificate issued by the authority and, if name is not empty, valid for that
// name or IP address. Connections to daemons use no name, because hosts are
// replaced at any time: a signature by the mesh's own authority is enough.
func (s *Source) ClientConfig(name string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection verifies the certificate instead, with the
		// authority's certificates as of the handshake.
		InsecureSkipVerify: true,
		VerifyConnection:   s.verifier(x509.ExtKeyUsageServerAuth, name),
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			if c := s.contents().certificate; c != nil {
				return c, nil
			}
			return &tls.Certificate{}, nil
		},
	}
}

var errNoPeerCertificate = errors.New("peer presented no certificate")

// verifier returns a VerifyConnection function that checks that the peer's
// certificate is issued by the authority for the given usage and, if not empty,
// name.
func (s *Source) verifier(usage x509.ExtKeyUsage, name string) func(tls.ConnectionState) error {
	return func(cs tls.ConnectionState) error {
		if len(cs.PeerCertificates) == 0 {
			return errNoPeerCertificate
		}
		intermediates := x509.NewCertPool()
		for _, c := range cs.PeerCertificates[1:] {
			intermediates.AddCert(c)
		}
		_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
			DNSName: name, Roots: s.contents().authority, Intermediates: intermediates,
			KeyUsages: []x509.ExtKeyUsage{usage},
		})
		return err
	}
}

// Dial returns a dial function that opens connections with dial and performs
// the TLS handshake on them. A nil dial uses plain TCP.
func Dial(dial httpconn.DialFunc, cfg *tls.Config) httpconn.DialFunc {
	if dial == nil {
		dial = httpconn.Dialer().DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, httpconn.DialTimeout)
		defer cancel()
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := tls.Client(raw, cfg)
		if err := c.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		return c, nil
	}
}
