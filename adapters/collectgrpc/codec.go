package collectgrpc

import (
	"fmt"
	"math"
	"time"

	"fescuehoist.example/adapters/collectgrpc/collectpb"
	"fescuehoist.example/mesh/allowance"
	"fescuehoist.example/mesh/collect"
	"fescuehoist.example/mesh/manifest"
	"fescuehoist.example/mesh/member"
	"fescuehoist.example/mesh/target"
)

// Units of numbers in messages.
const (
	tenths          = 10
	hundredths      = 100
	tenThousandths  = 10_000
	microsPerSecond = int64(time.Second / time.Microsecond)
)

// Limits of messages received from other daemons.
const (
	maxAccounts = 1 << 14
	maxReleases = 1 << 12
	maxDaemons  = 1 << 20
	// maxAmount bounds counts of requests and rates, in tenths.
	maxAmount = 1 << 40
	// maxSeconds bounds ages and the total time of calls.
	maxSeconds = 1 << 32
	maxName    = 128
)

func encodeReport(r *collect.Report) *collectpb.Report {
	out := &collectpb.Report{From: string(r.From), Sum: r.Sum, Daemons: uint32(r.Daemons), Whole: r.Whole}
	if !isFull(&r.Present, r.Daemons) {
		for _, n := range r.Present {
			out.Present = append(out.Present, uint32(round(n, hundredths)))
		}
	}
	for i := range r.Accounts {
		a := &r.Accounts[i]
		out.Accounts = append(out.Accounts, a.Account)
		out.Offered = append(out.Offered, round(a.Offered, tenths))
		for _, n := range a.Used {
			out.Used = append(out.Used, round(n, tenths))
		}
	}
	for i := range r.Releases {
		out.Releases = append(out.Releases, encodeCount(&r.Releases[i]))
	}
	return out
}

func isFull(present *allowance.Series, daemons int) bool {
	for _, n := range present {
		if n != float64(daemons) {
			return false
		}
	}
	return true
}

// round returns an amount in units of 1/unit.
func round(x, unit float64) uint64 {
	return uint64(min(max(math.Round(x*unit), 0), maxAmount))
}

func decodeReport(in *collectpb.Report) (*collect.Report, error) {
	if err := checkReport(in); err != nil {
		return nil, err
	}
	r := &collect.Report{From: member.ServerID(in.GetFrom()), Sum: in.GetSum(), Daemons: int(in.GetDaemons()), Whole: in.GetWhole()}
	for i := range r.Present {
		r.Present[i] = float64(r.Daemons)
		if len(in.GetPresent()) > 0 {
			r.Present[i] = float64(in.GetPresent()[i]) / hundredths
		}
	}
	for i, name := range in.GetAccounts() {
		c := allowance.Count{Account: name, Offered: float64(min(in.GetOffered()[i], maxAmount)) / tenths}
		for k := range c.Used {
			c.Used[k] = float64(min(in.GetUsed()[i*allowance.Slices+k], maxAmount)) / tenths
		}
		r.Accounts = append(r.Accounts, c)
	}
	for _, c := range in.GetReleases() {
		count, err := decodeCount(c)
		if err != nil {
			return nil, err
		}
		r.Releases = append(r.Releases, count)
	}
	return r, nil
}

func checkReport(in *collectpb.Report) error {
	accounts := len(in.GetAccounts())
	switch {
	case in.GetFrom() == "" || len(in.GetFrom()) > maxName:
		return fmt.Errorf("report of server %.80q, want a name of 1 to %d bytes", in.GetFrom(), maxName)
	case in.GetDaemons() == 0 || in.GetDaemons() > maxDaemons:
		return fmt.Errorf("report of %d daemons, want 1 to %d", in.GetDaemons(), maxDaemons)
	case len(in.GetPresent()) != 0 && len(in.GetPresent()) != allowance.Slices:
		return fmt.Errorf("report with the presence in %d slices, want 0 or %d", len(in.GetPresent()), allowance.Slices)
	case accounts > maxAccounts || len(in.GetReleases()) > maxReleases:
		return fmt.Errorf("report of %d accounts and %d releases, want at most %d and %d", accounts, len(in.GetReleases()), maxAccounts, maxReleases)
	case len(in.GetOffered()) != accounts || len(in.GetUsed()) != accounts*allowance.Slices:
		return fmt.Errorf("report of %d accounts with %d rates and %d amounts, want %d and %d", accounts, len(in.GetOffered()), len(in.GetUsed()), accounts, accounts*allowance.Slices)
	}
	for _, n := range in.GetPresent() {
		// Daemons that were lost since count in the earlier slices.
		if n > maxDaemons*hundredths {
			return fmt.Errorf("report with a presence of %d hundredths of a daemon, want at most %d", n, maxDaemons*hundredths)
		}
	}
	return checkAccounts(in.GetAccounts())
}

func checkAccounts(names []string) error {
	for _, name := range names {
		if name == "" || len(name) > target.MaxAccountNameLength {
			return fmt.Errorf("account %.80q, want a name of 1 to %d bytes", name, target.MaxAccountNameLength)
		}
	}
	return nil
}

// micros converts microseconds to a duration; what exceeds maxSeconds is cut.
func micros(n uint64) time.Duration {
	return time.Duration(min(n, uint64(maxSeconds*microsPerSecond))) * time.Microsecond
}

func encodeReply(r *collect.Reply) *collectpb.Reply {
	out := &collectpb.Reply{Fleet: r.Fleet, Undecided: r.Undecided, Daemons: uint32(r.Daemons), Verified: r.Verified, Version: uint64(r.Version)}
	if r.Verified {
		out.AgeMicros = encodeAge(r.VerificationAge)
	}
	for i := range r.Limits {
		l := &r.Limits[i]
		out.Accounts = append(out.Accounts, l.Account)
		out.Shares = append(out.Shares, uint32(round(l.Share, tenThousandths)))
		out.Rooms = append(out.Rooms, round(l.Room, tenths))
		out.Rates = append(out.Rates, encodeRate(l.Rate))
	}
	for _, d := range r.Directions {
		out.Directions = append(out.Directions, encodeDirection(&d))
	}
	return out
}

// encodeRate returns the nearest rate that is above 0 and finite, as receivers expect it.
func encodeRate(rate float64) float32 {
	return float32(min(max(rate, math.SmallestNonzeroFloat32), math.MaxFloat32))
}

func decodeReply(in *collectpb.Reply) (*collect.Reply, error) {
	accounts := len(in.GetAccounts())
	if accounts > maxAccounts || len(in.GetShares()) != accounts || len(in.GetRooms()) != accounts || len(in.GetRates()) != accounts || len(in.GetDirections()) > maxReleases {
		return nil, fmt.Errorf("reply of %d accounts, %d shares, %d rooms, %d rates and %d directions; want equal numbers of at most %d, and at most %d directions",
			accounts, len(in.GetShares()), len(in.GetRooms()), len(in.GetRates()), len(in.GetDirections()), maxAccounts, maxReleases)
	}
	if err := checkAccounts(in.GetAccounts()); err != nil {
		return nil, err
	}
	r := &collect.Reply{Fleet: in.GetFleet(), Undecided: in.GetUndecided(), Daemons: int(min(in.GetDaemons(), maxDaemons)),
		Verified: in.GetVerified(), Version: manifest.Version(in.GetVersion()), VerificationAge: micros(in.GetAgeMicros())}
	for i, name := range in.GetAccounts() {
		rate := float64(in.GetRates()[i])
		if !(rate > 0) || math.IsInf(rate, 0) {
			return nil, fmt.Errorf("account %.80q has a rate of %g, want a number above 0", name, rate)
		}
		r.Limits = append(r.Limits, allowance.Limit{Account: name, Share: fraction(in.GetShares()[i]),
			Room: float64(min(in.GetRooms()[i], maxAmount)) / tenths, Rate: rate})
	}
	for _, d := range in.GetDirections() {
		direction, err := decodeDirection(d)
		if err != nil {
			return nil, err
		}
		r.Directions = append(r.Directions, direction)
	}
	return r, nil
}

func fraction(n uint32) float64 { return min(float64(n)/tenThousandths, 1) }
