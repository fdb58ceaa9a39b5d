package settings

import (
	"fmt"
	"net"

	"fescuehoist.example/adapters/tomlfile"
)

// TLS defines which connections use TLS, and the files for it. The zero value
// is plain TCP everywhere; a settings file must request it explicitly.
type TLS struct {
	// Daemons enables TLS for streams and calls between daemons, on both sides.
	Daemons bool
	// Callers enables TLS for the connections of callers.
	Callers bool
	// Platform enables TLS for the connections to the platform.
	Platform bool
	// Certificate and Key are the files of the daemon's certificate and private
	// key, Authority that of the mesh's authority.
	Certificate, Key, Authority string
	// PlatformAuthority is the file of the authority of the platform's
	// certificate, PlatformName the name or IP address that the certificate
	// must be valid for.
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

// Values of the keys tls.daemons, tls.callers and tls.platform.
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
		requireFile(f, "tls.certificate", t.Certificate, "the daemon's certificate")
		requireFile(f, "tls.key", t.Key, "the certificate's private key")
	}
	if (t.Certificate == "") != (t.Key == "") && !t.Daemons && !t.Callers {
		f.AddProblem("tls", "certificate and key go together; write both or neither")
	}
	if t.Daemons {
		requireFile(f, "tls.authority", t.Authority, "the certificates of the mesh's own authority")
	}
	if t.Platform {
		requireFile(f, "tls.platform_authority", t.PlatformAuthority, "the certificates of the platform's authority")
	}
	if t.Platform && t.PlatformName == "" {
		t.PlatformName, _, _ = net.SplitHostPort(platform)
	}
	return t
}

// checkMode reports whether the mode is TLS. A missing mode is a problem: plain
// TCP must be requested explicitly.
func checkMode(f *tomlfile.File, key, text, connections string) bool {
	if text != modeTLS && text != modePlain {
		f.AddProblem(key, fmt.Sprintf("%.80q; write %q to protect the %s with the key files under [tls], or %q to leave them unprotected", text, modeTLS, connections, modePlain))
	}
	return text == modeTLS
}

func requireFile(f *tomlfile.File, key, name, content string) {
	if name == "" {
		f.AddProblem(key, "is missing; write the path of a PEM file with "+content)
	}
}
