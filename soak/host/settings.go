package host

import (
	"fmt"
	"os"
	"path/filepath"
)

const settingsTemplate = `[server]
name = "%[1]s"
domain = "%[2]s"
service = "%[3]s"

[listen]
callers = "%[4]s"
calls = "%[5]s"
peers = "%[6]s"
admin = "%[7]s"
announcements = "%[8]s"
ready = "%[9]s"

[advertise]
calls = "%[10]s"
peers = "%[11]s"

[platform]
address = "%[12]s"
api = "objects"

[backend]
address = "%[13]s"
fixed_slots = true
announce_lifetime = "3s"
drain_timeout = "6s"

[calls]
progress = "off"

[retry]
share = 0.1
burst = %[14]d

[accounts]
revoke_within = "%[15]s"

[tls]
daemons = "plain"
callers = "plain"
platform = "plain"
`

const rolloutsTemplate = `
[rollouts]
exposure_share = 0.1
rollback_within = "%s"
`

func (h *Host) writeSettings(o *Options) (string, error) {
	file := filepath.Join(o.Dir, h.Name+".toml")
	text := fmt.Sprintf(settingsTemplate, h.Name, h.Domain, h.Service, h.CallerAddress, h.callAddress, h.peerAddress, h.adminAddress, h.announceAddress, h.readyAddress,
		h.CallProxy.Address(), h.PeerProxy.Address(), h.StoreProxy.Address(), h.ServerProxy.Address(), o.RetryBurst, o.RevokeWithin)
	if o.Rollouts {
		text += fmt.Sprintf(rolloutsTemplate, o.RollbackWithin)
	}
	return file, os.WriteFile(file, []byte(text), 0o600)
}
