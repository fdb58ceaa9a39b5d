package status

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of histograms: values are accurate to 1 part in 16.
const (
	minValue          = 1
	maxValue          = 60_000_000 // a minute, in microseconds
	significantDigits = 1
)

// Histogram counts durations from a microsecond to a minute.
type Histogram struct{ h *hdrhistogram.Histogram }

// Bucket counts durations that are equal within the precision.
type Bucket struct {
	// Micros is the largest duration of the bucket, in microseconds.
	Micros int64
	Count  int64
}

// Record counts one duration.
func (h *Histogram) Record(d time.Duration) { h.record(d.Microseconds(), 1) }

func (h *Histogram) record(micros, count int64) {
	if h.h == nil {
		h.h = hdrhistogram.New(minValue, maxValue, significantDigits)
	}
	_ = h.h.RecordValues(min(max(micros, minValue), maxValue), count)
}

// Add adds the counts of another histogram.
func (h *Histogram) Add(other *Histogram) {
	if other.h == nil {
		return
	}
	if h.h == nil {
		h.h = hdrhistogram.New(minValue, maxValue, significantDigits)
	}
	h.h.Merge(other.h)
}

// Count returns the number of durations.
func (h *Histogram) Count() int64 {
	if h.h == nil {
		return 0
	}
	return h.h.TotalCount()
}

// Quantile returns the duration that a share q of all durations do not exceed,
// from 0 to 1; 0 if there are none.
func (h *Histogram) Quantile(q float64) time.Duration {
	if h.h == nil {
		return 0
	}
	return time.Duration(h.h.ValueAtQuantile(100*q)) * time.Microsecond
}

// Mean returns the mean duration; 0 if there are none.
func (h *Histogram) Mean() time.Duration {
	if h.h == nil {
		return 0
	}
	return time.Duration(h.h.Mean()) * time.Microsecond
}

// Share returns the share of durations up to d; 1 if there are none.
func (h *Histogram) Share(d time.Duration) float64 {
	if h.Count() == 0 {
		return 1
	}
	var within int64
	for _, b := range h.Buckets() {
		if b.Micros <= d.Microseconds() {
			within += b.Count
		}
	}
	return float64(within) / float64(h.Count())
}

// Buckets returns the buckets that are not empty.
func (h *Histogram) Buckets() []Bucket {
	if h.h == nil {
		return nil
	}
	var buckets []Bucket
	for _, b := range h.h.Distribution() {
		if b.Count > 0 {
			buckets = append(buckets, Bucket{Micros: b.To, Count: b.Count})
		}
	}
	return buckets
}

// HistogramFromBuckets returns the histogram with the given buckets.
func HistogramFromBuckets(buckets []Bucket) Histogram {
	var h Histogram
	for _, b := range buckets {
		if b.Count > 0 {
			h.record(b.Micros, b.Count)
		}
	}
	return h
}
