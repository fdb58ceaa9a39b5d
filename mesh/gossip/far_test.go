package gossip_test

import (
	"testing"
	"time"

	"fescuehoist.example/mesh/gossip"
	"fescuehoist.example/mesh/manifest"
)

// configurationSenders returns, for the daemon at an address, the failure domains that sent
// it configuration.
func configurationSenders(f *fleet, address string) map[string]int {
	domains := map[string]string{}
	for _, d := range f.daemons {
		domains[string(d.id)] = d.domain
	}
	senders := map[string]int{}
	f.net.SetObserver(func(from, to string, m gossip.Message) {
		if _, ok := m.(*gossip.Configuration); ok && to == address {
			senders[domains[from]]++
		}
	})
	return senders
}

// Guards against a starting daemon that takes the whole configuration from another failure
// domain, where bytes are paid for, while its own has it.
func TestStartingDaemonTakesConfigurationFromItsOwnDomain(t *testing.T) {
	runInBubble(t, 12, 3, func(f *fleet) {
		f.publishEdit(f.daemons[0], 1)
		f.eventually("the version at all daemons", func() bool { return f.allAtVersion(1) })
		for i := range f.daemons {
			f.kill(f.daemons[i])
			senders := configurationSenders(f, string(f.daemons[i].id))
			restarted := f.start(i, 3, 2)
			f.eventually("the version at the restarted daemon", func() bool { return restarted.configs.Snapshot().Version() == 1 })
			f.net.SetObserver(nil)
			delete(senders, restarted.domain)
			if len(senders) > 0 {
				t.Errorf("%s of %s got configuration from %v, want it from its own failure domain alone", restarted.id, restarted.domain, senders)
			}
		}
	})
}

// Guards against a daemon that stays without a configuration since its failure domain has
// none.
func TestStartingDaemonAloneInItsDomainTakesConfigurationFromOthers(t *testing.T) {
	runInBubble(t, 6, 3, func(f *fleet) {
		f.publishEdit(f.daemons[0], 1)
		f.eventually("the version at all daemons", func() bool { return f.allAtVersion(1) })
		f.kill(f.daemons[1])
		f.kill(f.daemons[4])
		started := time.Now()
		restarted := f.start(1, 3, 2)
		f.eventually("the version at the restarted daemon", func() bool { return restarted.configs.Snapshot().Version() == manifest.Version(1) })
		if took, limit := time.Since(started), 2*f.cfg.FarConfigDelay+f.cfg.RejoinInterval; took > limit {
			t.Errorf("the configuration came after %s, want at most %s", took, limit)
		}
	})
}

// Guards against a list of versions for each change of a record on each lazy stream to
// another failure domain: they cost more than the records.
func TestLazyStreamsToOtherDomainsSendFewLists(t *testing.T) {
	const changes = 40
	runInBubble(t, 24, 3, func(f *fleet) {
		time.Sleep(time.Minute)
		domains := map[string]string{}
		for _, d := range f.daemons {
			domains[string(d.id)] = d.domain
		}
		near, far := 0, 0
		f.net.SetObserver(func(from, to string, m gossip.Message) {
			if _, ok := m.(*gossip.Have); !ok {
				return
			}
			if domains[from] == domains[to] {
				near++
			} else {
				far++
			}
		})
		for i := range changes {
			d := f.daemons[i%len(f.daemons)]
			r, _ := d.table.Get(d.id)
			r.Slots = 100 + i
			d.node.Announce(r)
			time.Sleep(25 * time.Millisecond)
		}
		f.eventually("the last change at all daemons", func() bool {
			for _, d := range f.daemons {
				last := f.daemons[(changes-1)%len(f.daemons)].id
				if r, _ := d.table.Get(last); r.Slots != 100+changes-1 {
					return false
				}
			}
			return true
		})
		time.Sleep(time.Second)
		f.net.SetObserver(nil)
		t.Logf("%d lists within failure domains, %d between them", near, far)
		// Each stream between failure domains may send one list in each interval.
		interval := f.cfg.FarAdviceInterval
		streams := len(f.daemons) * 2 * f.cfg.FarPeers
		if limit := streams * int((changes*25*time.Millisecond+time.Second)/interval+1); far > limit {
			t.Errorf("%d lists between failure domains, want at most %d", far, limit)
		}
		if far >= near {
			t.Errorf("%d lists between failure domains and %d within them, want fewer between them", far, near)
		}
	})
}
