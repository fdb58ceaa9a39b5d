package overhead

import (
	"slices"

	"fescuehoist.example/bench/figure"
)

// maxAdded is the target for the time added to a call at the 99th percentile,
// in milliseconds.
const maxAdded = 0.88

// result adds the figures of a run to its report.
type result struct{ *figure.Report }

// report adds the figures of all rounds. The time added at the 99th percentile
// is over its bound only if nine rounds in ten are.
func report(kinds []*kind, to *figure.Report) {
	of := map[string][]round{}
	for _, k := range kinds {
		of[k.name] = k.rounds
	}
	r := result{to}
	for _, k := range kinds {
		r.show(k.name+"-p50", quantile(each(k.rounds, nil, p50), 0.5))
		r.show(k.name+"-p99", quantile(each(k.rounds, nil, p99), 0.5))
		r.show(k.name+"-processor", quantile(each(k.rounds, nil, processor), 0.5))
	}
	r.difference("added", of[through], of[direct])
	r.difference("http-over-direct", of[hopHTTP], of[direct])
	r.difference("grpc-over-http", of[hopGRPC], of[hopHTTP])
	r.difference("key-added", of[keyed], of[plain])
	r.AddAtMost("added-p99-nine-rounds-in-ten", quantile(each(of[through], of[direct], p99), 0.1), "ms", maxAdded)
}

func p50(r round) float64       { return r.p50 }
func p99(r round) float64       { return r.p99 }
func processor(r round) float64 { return r.processor }

// each returns a measure of every round, less that of the round of base beside
// it unless base is nil.
func each(rounds, base []round, of func(round) float64) []float64 {
	values := make([]float64, len(rounds))
	for i := range rounds {
		values[i] = of(rounds[i])
		if base != nil {
			values[i] -= of(base[i])
		}
	}
	return values
}

func quantile(values []float64, q float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}

func (r result) show(name string, value float64) {
	r.AddUnbounded(name, value, "ms")
}

// difference shows the medians of the differences and the spread of the last.
func (r result) difference(name string, rounds, base []round) {
	r.show(name+"-p50", quantile(each(rounds, base, p50), 0.5))
	tail := each(rounds, base, p99)
	r.show(name+"-p99-q10", quantile(tail, 0.1))
	r.show(name+"-p99-median", quantile(tail, 0.5))
	r.show(name+"-p99-q90", quantile(tail, 0.9))
	r.show(name+"-processor", quantile(each(rounds, base, processor), 0.5))
}
