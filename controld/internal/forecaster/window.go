package forecaster

import "time"

const (
	bucketLength = 100 * time.Millisecond
	buckets      = 20
)

// window sums values over the last bucketLength * buckets.
type window struct {
	values [buckets]float64
	newest int64
	// since is the time of the first value.
	since time.Duration
}

// advance drops the values that are too old.
func (w *window) advance(now time.Duration) {
	bucket := int64(now / bucketLength)
	for count := 0; w.newest < bucket && count < buckets; count++ {
		w.newest++
		w.values[w.newest%buckets] = 0
	}
	w.newest = max(w.newest, bucket)
}

func (w *window) add(value float64, now time.Duration) {
	if w.since == 0 {
		w.since = now
	}
	w.advance(now)
	w.values[w.newest%buckets] += value
}

func (w *window) sum(now time.Duration) float64 {
	w.advance(now)
	sum := 0.0
	for _, value := range w.values {
		sum += value
	}
	return sum
}

// perSecond returns the mean rate over the window, or since the first value if that was later.
func (w *window) perSecond(now time.Duration) float64 {
	if w.since == 0 {
		return 0
	}
	length := min(max(now-w.since, time.Second/2), buckets*bucketLength)
	return w.sum(now) / length.Seconds()
}
