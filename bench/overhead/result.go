package overhead

import (
	"slices"

	"fescuehoist.example/bench/figure"
)

// maxAddedMS is the target for the latency that the daemons add to a call at the
// 99th percentile, in milliseconds.
const maxAddedMS = 0.88

// result adds the figures of a run to its report.
type result struct{ *figure.Report }

// report adds the figures of all rounds. The bound on the added 99th percentile is
// checked against the 10% quantile of the rounds, so that it is exceeded only if
// nine rounds in ten exceed it.
func report(kinds []*callKind, to *figure.Report) {
	byKind := map[string][]round{}
	for _, k := range kinds {
		byKind[k.name] = k.rounds
	}
	r := result{to}
	for _, k := range kinds {
		r.add(k.name+"-p50", quantile(roundValues(k.rounds, nil, p50), 0.5))
		r.add(k.name+"-p99", quantile(roundValues(k.rounds, nil, p99), 0.5))
		r.add(k.name+"-processor", quantile(roundValues(k.rounds, nil, cpu), 0.5))
	}
	r.addDifference("added", byKind[throughDaemons], byKind[direct])
	r.addDifference("http-over-direct", byKind[hopHTTP], byKind[direct])
	r.addDifference("grpc-over-http", byKind[hopGRPC], byKind[hopHTTP])
	r.addDifference("key-added", byKind[keyed], byKind[unkeyed])
	r.AddAtMost("added-p99-nine-rounds-in-ten", quantile(roundValues(byKind[throughDaemons], byKind[direct], p99), 0.1), "ms", maxAddedMS)
}

func p50(r round) float64 { return r.p50 }
func p99(r round) float64 { return r.p99 }
func cpu(r round) float64 { return r.cpu }

// roundValues returns a value of each round, minus the value of the round of base
// with the same index if base is not nil.
func roundValues(rounds, base []round, value func(round) float64) []float64 {
	values := make([]float64, len(rounds))
	for i := range rounds {
		values[i] = value(rounds[i])
		if base != nil {
			values[i] -= value(base[i])
		}
	}
	return values
}

// quantile returns the q-quantile of values, with q from 0 to 1.
func quantile(values []float64, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}

// add adds a figure in milliseconds without a bound.
func (r result) add(name string, value float64) {
	r.AddUnbounded(name, value, "ms")
}

// addDifference adds the medians of the differences between rounds and base, and
// the 10% and 90% quantiles of the difference of the 99th percentile.
func (r result) addDifference(name string, rounds, base []round) {
	r.add(name+"-p50", quantile(roundValues(rounds, base, p50), 0.5))
	tail := roundValues(rounds, base, p99)
	r.add(name+"-p99-q10", quantile(tail, 0.1))
	r.add(name+"-p99-median", quantile(tail, 0.5))
	r.add(name+"-p99-q90", quantile(tail, 0.9))
	r.add(name+"-processor", quantile(roundValues(rounds, base, cpu), 0.5))
}
