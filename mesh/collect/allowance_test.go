package collect_test

import (
	"testing"
	"time"

	"fescuehoist.example/mesh/target"
)

// Guards against refusals of accounts that keep to their limits, and against an account that
// exceeds its limit and takes the others' room.
func TestAccountsBelowTheirLimitsAreServedBesideGreedyOne(t *testing.T) {
	accounts, usual := powerLaw()
	runFleet(t, 72, accounts, func(f *fleet) {
		load := usualLoad(accounts, usual, 72)
		f.offer(10*time.Second, load...)
		for i := range accounts {
			f.requireServedAsByOneBucket(&accounts[i])
		}
		load[1].rate *= 7.5
		f.offer(8*time.Second, load...)
		for i := range accounts {
			f.requireBound(&accounts[i], 0)
			if i != 1 {
				f.requireServedAsByOneBucket(&accounts[i])
			}
		}
		// It is refused, but not much below its rate.
		if n, want := len(f.admitted[accounts[1].Name]), usual[1]*10+accounts[1].Rate*8*0.9; float64(n) < want {
			t.Errorf("greedy account: %d requests admitted, want at least %.0f", n, want)
		}
		load[1].rate = usual[1]
		time.Sleep(2 * time.Second)
		f.forget()
		f.offer(5*time.Second, load...)
		f.requireServed(&accounts[1], 1)
	})
}

// Guards against parts of the limit that are lost where an account has no callers, and
// against bursts that reach a daemon before the others know.
func TestSharesFollowCallers(t *testing.T) {
	a := account("large", 300)
	runFleet(t, 24, []target.Account{a}, func(f *fleet) {
		f.offer(6*time.Second, callers{&a, 300, only(3)})
		f.requireServed(&a, 1)
		f.offer(6*time.Second, callers{&a, 300, only(8, 9)})
		f.requireServed(&a, 1)
		f.offer(6*time.Second, callers{&a, 2250, only(5)})
		f.requireBound(&a, 0)
		time.Sleep(window)
		f.offer(6*time.Second, callers{&a, 2250, anywhere(24)})
		f.requireBound(&a, 0)
	})
}

// Guards against two halves of a split, or daemons that return, that each take the whole
// limit.
func TestBoundHoldsDuringFaults(t *testing.T) {
	halves := func(a, b int) bool { return a%2 != b%2 }
	domains := func(a, b int) bool { return a%4 != b%4 }
	alone := func(a, b int) bool { return a != b }
	faults := map[string]func(*fleet){
		"two halves":       func(f *fleet) { f.setCut(halves) },
		"failure domains":  func(f *fleet) { f.setCut(domains) },
		"daemons alone":    func(f *fleet) { f.setCut(alone) },
		"half restarts":    func(f *fleet) { f.restart(func(i int) bool { return i < 12 }, f.offerAll) },
		"all restart":      func(f *fleet) { f.restart(func(int) bool { return true }, f.offerAll) },
		"half is lost":     func(f *fleet) { f.killAll(func(i int) bool { return i < 12 }) },
		"split and heal":   func(f *fleet) { f.setCut(halves); f.offerAll(2 * time.Second); f.setCut(nil) },
		"collector killed": func(f *fleet) { f.kill(f.collector()) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			accounts := []target.Account{account("large", 300), account("middle", 30), account("small", 3), {Name: "burstless", Rate: 100}}
			runFleet(t, 24, accounts, func(f *fleet) {
				f.offerAll(6 * time.Second)
				fault(f)
				f.offerAll(8 * time.Second)
				f.setCut(nil)
				f.offerAll(6 * time.Second)
				for i := range accounts {
					f.requireBound(&accounts[i], 0)
				}
			})
		})
	}
}

// Guards against counts that are lost with the only daemon that had callers of an account:
// when it starts again, the others would admit what it admitted a second time.
func TestBoundHoldsWhenDaemonWithAllCallersRestarts(t *testing.T) {
	a := account("large", 300)
	runFleet(t, 24, []target.Account{a}, func(f *fleet) {
		busy, other := f.plainDaemon(0), f.plainDaemon(12)
		load := func(at *peer) callers { return callers{&a, 5 * a.Rate, only(at.index)} }
		f.offer(time.Second, load(busy))
		f.restart(func(i int) bool { return i == busy.index }, func(d time.Duration) { f.offer(d, load(other)) })
		f.offer(6*time.Second, load(other))
		f.requireBound(&a, 0)
	})
}

// Guards against faults that cost accounts below their limits more than the daemons' parts
// explain.
func TestAccountsBelowTheirLimitsAreServedDuringFaults(t *testing.T) {
	faults := map[string]struct {
		apply func(*fleet)
		// most is the share of all requests that may be refused in 6 s.
		most float64
	}{
		"two halves":       {func(f *fleet) { f.setCut(func(a, b int) bool { return a%2 != b%2 }) }, 0.01},
		"failure domains":  {func(f *fleet) { f.setCut(func(a, b int) bool { return a%4 != b%4 }) }, 0.01},
		"half restarts":    {func(f *fleet) { f.restart(func(i int) bool { return i < 36 }, time.Sleep) }, 0.03},
		"all restart":      {func(f *fleet) { f.restart(func(int) bool { return true }, time.Sleep) }, 0.06},
		"collector killed": {func(f *fleet) { f.kill(f.collector()) }, 0.01},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			accounts, usual := powerLaw()
			runFleet(t, 72, accounts, func(f *fleet) {
				load := usualLoad(accounts, usual, 72)
				f.offer(3*time.Second, load...)
				fault.apply(f)
				f.forget()
				f.offer(6*time.Second, load...)
				admitted, refused := 0, 0
				for i := range accounts {
					admitted += len(f.admitted[accounts[i].Name])
					refused += len(f.refused[accounts[i].Name])
				}
				share := float64(refused) / float64(admitted+refused)
				t.Logf("%.2f%% of %d requests refused", share*100, admitted+refused)
				if share > fault.most {
					t.Errorf("%.2f%% of the requests below the limits refused, want at most %.0f%%", share*100, fault.most*100)
				}
			})
		})
	}
}

// Guards against callers that are refused because a collector is gone.
func TestCallersAreServedWhileCollectorsFail(t *testing.T) {
	a := account("large", 300)
	runFleet(t, 24, []target.Account{a}, func(f *fleet) {
		load := callers{&a, 300, anywhere(24)}
		f.offer(3*time.Second, load)
		f.kill(f.collector())
		f.offer(6*time.Second, load)
		f.requireServed(&a, 0.99)
		f.requireBound(&a, 0)
		served := f.peers[0]
		if served.id == f.collector().id {
			served = f.peers[1]
		}
		if !served.counter.Status().Recent {
			t.Errorf("%s has no recent limits 6 s after the loss of a collector", served.id)
		}
	})
}

// Guards against a limit that stays in force at daemons, or at the collector, which have
// heard of a lower one.
func TestLoweredLimitBindsAfterPartition(t *testing.T) {
	high, low := target.Account{Name: "a", Rate: 400, Burst: 400}, target.Account{Name: "a", Rate: 50, Burst: 20}
	runFleet(t, 24, []target.Account{high}, func(f *fleet) {
		load := callers{&high, 300, anywhere(24)}
		f.offer(6*time.Second, load)
		f.setCut(func(a, b int) bool { return a%2 != b%2 })
		for i, p := range f.peers {
			if i%2 == 0 {
				f.configure(p, 2, []target.Account{low})
			}
		}
		f.offer(3*time.Second, load)
		f.setCut(nil)
		for i, p := range f.peers {
			if i%2 == 1 {
				f.configure(p, 2, []target.Account{low})
			}
		}
		inForce := time.Since(f.start)
		f.offer(12*time.Second, load)
		f.requireBound(&low, inForce)
	})
}

// Guards against a Retry-After after which the account still has no room.
func TestRetryAfterIsTrue(t *testing.T) {
	a := account("large", 100)
	runFleet(t, 8, []target.Account{a}, func(f *fleet) {
		f.offer(6*time.Second, callers{&a, 800, anywhere(8)})
		p := f.peers[0]
		for range 1000 {
			if _, after, admitted := p.counter.Admit(&a); !admitted {
				if after < 100*time.Millisecond || after > window {
					t.Fatalf("retry after %s, want 100ms to %s", after, window)
				}
				time.Sleep(after)
				break
			}
		}
		if _, _, admitted := p.counter.Admit(&a); !admitted {
			t.Error("refused again after the given time, while nobody else called")
		}
	})
}

// Guards against messages between daemons of deployments that use none of this.
func TestNothingIsSentWithoutLimitsOrRollouts(t *testing.T) {
	runFleet(t, 4, nil, func(f *fleet) {
		f.requireReports(0, 0)
		for _, p := range f.peers {
			f.configure(p, 2, []target.Account{{Name: "unlimited"}})
		}
		f.requireReports(1, 40)
		for _, p := range f.peers {
			f.configure(p, 3, nil)
		}
		time.Sleep(time.Second)
		f.requireReports(0, 0)
	})
}

// Guards against keys that are refused, or taken, since the age of the configuration does
// not reach all daemons, or is stated as younger than it is.
func TestVerificationReachesAllDaemons(t *testing.T) {
	runFleet(t, 24, []target.Account{{Name: "unlimited"}}, func(f *fleet) {
		source := f.collector()
		verified := time.Now()
		source.configs.Verify(1, source.configs.Now())
		time.Sleep(2 * time.Second)
		for _, p := range f.peers {
			_, age, known := p.configs.VerificationAge()
			if !known || age < time.Since(verified) || age > time.Since(verified)+time.Second {
				t.Errorf("%s: verification known: %t, age %s; want an age of %s to 1s more", p.id, known, age, time.Since(verified))
			}
		}
	})
}
