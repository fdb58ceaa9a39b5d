package settings

import (
	"fmt"
	"net"

	"fescuehoist.example/adapters/tomlfile"
)

// TLS says which connections are protected and with which files. The zero
// value is plain TCP everywhere; a settings file has to say so.
type TLS struct {
	// Daemons covers streams and calls between daemons, on both sides.
	Daemons bool
	// Callers covers the connections of callers.
	Callers bool
	// Platform covers the connections to the platform.
	Platform bool
	// Certificate and Key are the daemon's own, Authority the mesh's.
	Certificate, Key, Authority string
	// PlatformAuthority is the authority of the platform's certificate and
	// PlatformName the name or IP number that the certificate must be for.
	PlatformAuthority, PlatformName string
}

type tlsTOML struct {
	Daemons           string `toml:"daemons"`
	Callers           string `toml:"callers"`
	Platform          string `toml:"platform"`
	Certificate       string `toml:"certificate"`
	Key               string `toml:"key"`
	Authority         string `toml:"authority"`
	PlatformAuthority string `toml:"platform_authority"`
	PlatformName      string `toml:"platform_name"`
}

// Values of the keys that say how connections are protected.
const (
	modeTLS   = "tls"
	modePlain = "plain"
)

func checkTLS(f *tomlfile.File, in *tlsTOML, platform string) TLS {
	t := TLS{
		Daemons:     checkMode(f, "tls.daemons", in.Daemons, "connections between daemons"),
		Callers:     checkMode(f, "tls.callers", in.Callers, "connections of callers"),
		Platform:    checkMode(f, "tls.platform", in.Platform, "connections to the platform"),
		Certificate: in.Certificate, Key: in.Key, Authority: in.Authority,
		PlatformAuthority: in.PlatformAuthority, PlatformName: in.PlatformName,
	}
	if t.Daemons || t.Callers {
		needFile(f, "tls.certificate", t.Certificate, "the daemon's certificate")
		needFile(f, "tls.key", t.Key, "the certificate's private key")
	}
	if (t.Certificate == "") != (t.Key == "") && !t.Daemons && !t.Callers {
		f.AddProblem("tls", "certificate and key go together; write both or neither")
	}
	if t.Daemons {
		needFile(f, "tls.authority", t.Authority, "the certificates of the mesh's own authority")
	}
	if t.Platform {
		needFile(f, "tls.platform_authority", t.PlatformAuthority, "the certificates of the platform's authority")
	}
	if t.Platform && t.PlatformName == "" {
		t.PlatformName, _, _ = net.SplitHostPort(platform)
	}
	return t
}

// checkMode reads a mode. An absent one is a problem: plain TCP has to be
// asked for.
func checkMode(f *tomlfile.File, key, text, what string) bool {
	if text != modeTLS && text != modePlain {
		f.AddProblem(key, fmt.Sprintf("%.80q; write %q to protect the %s with the key files under [tls], or %q to leave them unprotected", text, modeTLS, what, modePlain))
	}
	return text == modeTLS
}

func needFile(f *tomlfile.File, key, name, what string) {
	if name == "" {
		f.AddProblem(key, "is missing; write the path of a PEM file with "+what)
	}
}
