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

// links says how the daemon's connections are protected.
type links struct {
	// accept and connect are for streams between daemons.
	accept, connect credentials.TransportCredentials
	// calls opens connections to other daemons, platform to the platform.
	calls, platform httpconn.DialFunc
	// wrapCalls and wrapCallers are nil for plain TCP.
	wrapCalls, wrapCallers *tls.Config
}

// newLinks reads the key files that the settings name. The given dial function
// opens the connections for calls; nil uses plain TCP.
func newLinks(s *settings.TLS, dial httpconn.DialFunc, failed func(error)) (*links, error) {
	l := &links{accept: insecure.NewCredentials(), connect: insecure.NewCredentials(), calls: dial}
	if s.Daemons || s.Callers {
		own, err := tlsfiles.Open(tlsfiles.Files{Certificate: s.Certificate, Key: s.Key, Authority: s.Authority}, failed)
		if err != nil {
			return nil, oops.In("daemon").Wrapf(err, "tls")
		}
		l.secure(s, own, dial)
	}
	if s.Platform {
		files := tlsfiles.Files{Certificate: s.Certificate, Key: s.Key, Authority: s.PlatformAuthority}
		source, err := tlsfiles.Open(files, failed)
		if err != nil {
			return nil, oops.In("daemon").Wrapf(err, "tls.platform")
		}
		l.platform = tlsfiles.Dial(nil, source.ClientConfig(s.PlatformName))
	}
	return l, nil
}

func (l *links) secure(s *settings.TLS, own *tlsfiles.Source, dial httpconn.DialFunc) {
	if s.Callers {
		l.wrapCallers = own.ServerConfig()
	}
	if !s.Daemons {
		return
	}
	l.accept = credentials.NewTLS(own.MutualServerConfig())
	l.connect = credentials.NewTLS(own.ClientConfig(""))
	l.calls = tlsfiles.Dial(dial, own.ClientConfig(""))
	l.wrapCalls = own.MutualServerConfig()
}

// wrap returns the listener with TLS on its connections unless cfg is nil.
func wrap(ln net.Listener, cfg *tls.Config) net.Listener {
	if cfg == nil {
		return ln
	}
	return tls.NewListener(ln, cfg)
}
