package daemon

import (
	"crypto/tls"
	"net"

	"github.com/samber/oops"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"fescuehoist.example/adapters/httpconn"
	"fescuehoist.example/adapters/settings"
	"fescuehoist.example/adapters/tlsfiles"
)

// transport holds the TLS settings and dial functions of the daemon's connections.
type transport struct {
	// serverCredentials and clientCredentials are for the gRPC streams between daemons.
	serverCredentials, clientCredentials credentials.TransportCredentials
	// dialCalls opens connections to other daemons, dialPlatform to the platform.
	dialCalls, dialPlatform httpconn.DialFunc
	// callsTLS and callersTLS configure the listeners for calls; nil means plain TCP.
	callsTLS, callersTLS *tls.Config
}

// newTransport reads the key files named in the settings. The dial function opens
// the connections for calls; nil uses plain TCP. onReloadError is called if a
// changed key file cannot be read later.
func newTransport(s *settings.TLS, dial httpconn.DialFunc, onReloadError func(error)) (*transport, error) {
	t := &transport{serverCredentials: insecure.NewCredentials(), clientCredentials: insecure.NewCredentials(), dialCalls: dial}
	if s.Daemons || s.Callers {
		identity, err := tlsfiles.Open(tlsfiles.Files{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority}, onReloadError)
		if err != nil {
			return nil, oops.In("daemon").Wrapf(err, "tls")
		}
		t.enableTLS(s, identity, dial)
	}
	if s.Platform {
		files := tlsfiles.Files{Certificate: s.Certificate, Key: s.Key, Authority: s.PlatformAuthority}
		source, err := tlsfiles.Open(files, onReloadError)
		if err != nil {
			return nil, oops.In("daemon").Wrapf(err, "tls.platform")
		}
		t.dialPlatform = tlsfiles.Dial(nil, source.ClientConfig(s.PlatformName))
	}
	return t, nil
}

func (t *transport) enableTLS(s *settings.TLS, identity *tlsfiles.Source, dial httpconn.DialFunc) {
	if s.Callers {
		t.callersTLS = identity.ServerConfig()
	}
	if !s.Daemons {
		return
	}
	t.serverCredentials = credentials.NewTLS(identity.MutualServerConfig())
	t.clientCredentials = credentials.NewTLS(identity.ClientConfig(""))
	t.dialCalls = tlsfiles.Dial(dial, identity.ClientConfig(""))
	t.callsTLS = identity.MutualServerConfig()
}

// wrapListener adds TLS to a listener unless cfg is nil.
func wrapListener(ln net.Listener, cfg *tls.Config) net.Listener {
	if cfg == nil {
		return ln
	}
	return tls.NewListener(ln, cfg)
}
