package balance

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"

	"github.com/briarstand/briarstand/internal/defaults"
)

// Defaults of LatencyConfig.
const (
	DefaultWindow     = 10 * time.Second
	DefaultMinSamples = 50
	DefaultRefresh    = 100 * time.Millisecond
)

const (
	// windowSlices is the number of time slices in a window. All observations of a
	// slice expire together.
	windowSlices = 5
	// subBuckets is the number of buckets for each doubling of the latency, so
	// that a bucket is at most 12.5% wide.
	subBuckets = 8
	// bucketCount covers latencies up to 2^26 microseconds, about 67 s.
	bucketCount = 24 * subBuckets
)

// LatencyConfig configures Latencies. Zero fields take the defaults above.
type LatencyConfig struct {
	// Window is how long an observed latency contributes to a quantile.
	Window time.Duration
	// MinSamples is the minimum number of observed latencies for a quantile.
	MinSamples int
	// Refresh is the age at which a cached histogram is recomputed.
	Refresh time.Duration
}

// Latencies estimates quantiles of recent sub-request latencies, the basis of hedge
// delays. Each key has its own estimates: a key is a service, or a route and a
// distance (own or other region). All methods are safe for concurrent use.
type Latencies struct {
	cfg     LatencyConfig
	epoch   time.Time
	windows sync.Map // key to *window
}

// NewLatencies returns an estimator without observations.
func NewLatencies(cfg LatencyConfig) *Latencies {
	defaults.Set(&cfg.Window, DefaultWindow)
	defaults.Set(&cfg.Refresh, DefaultRefresh)
	if cfg.MinSamples == 0 {
		cfg.MinSamples = DefaultMinSamples
	}
	return &Latencies{cfg: cfg, epoch: time.Now()}
}

// window holds the recent latencies of one key in a ring of time slices.
type window struct {
	mu     sync.Mutex // serializes rotation and refresh
	slices [windowSlices]timeSlice
	cached atomic.Pointer[histogram]
}

// timeSlice is a latency histogram of one part of the window.
type timeSlice struct {
	number atomic.Int64 // sequence number of the slice, from 1
	counts [bucketCount]atomic.Uint32
}

// histogram is the sum of the time slices of a window at one point in time.
type histogram struct {
	computedAt time.Duration
	total      uint64
	counts     [bucketCount]uint64
}

func (l *Latencies) window(key string) *window {
	if w, ok := l.windows.Load(key); ok {
		return w.(*window)
	}
	w, _ := l.windows.LoadOrStore(key, &window{})
	return w.(*window)
}

// Remove removes the observations of a key.
func (l *Latencies) Remove(key string) { l.windows.Delete(key) }

func (l *Latencies) sliceNumber(now time.Duration) int64 {
	return 1 + int64(now/(l.cfg.Window/windowSlices))
}

// Observe records the latency of a sub-request that was answered.
func (l *Latencies) Observe(key string, latency time.Duration) {
	w := l.window(key)
	n := l.sliceNumber(time.Since(l.epoch))
	s := &w.slices[n%windowSlices]
	if s.number.Load() != n {
		w.rotate(s, n)
	}
	s.counts[bucketIndex(latency)].Add(1)
}

// rotate clears a time slice for reuse. Latencies recorded concurrently may be
// lost, which is acceptable for an estimate.
func (w *window) rotate(s *timeSlice, n int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.number.Load() >= n {
		return
	}
	for i := range s.counts {
		s.counts[i].Store(0)
	}
	s.number.Store(n)
}

// LatencyQuantile returns the latency that the given fraction of recent
// sub-requests, in parts per thousand, stayed below. It returns false if fewer
// than MinSamples were observed.
func (l *Latencies) LatencyQuantile(key string, permille int) (time.Duration, bool) {
	w := l.window(key)
	now := time.Since(l.epoch)
	h := w.cached.Load()
	if h == nil || now-h.computedAt >= l.cfg.Refresh {
		h = w.refresh(now, l.sliceNumber(now), l.cfg.Refresh)
	}
	if h.total < uint64(l.cfg.MinSamples) {
		return 0, false
	}
	return h.quantile(permille), true
}

// refresh returns the cached histogram, or computes a new one if there is none or its
// age is maxAge or more.
func (w *window) refresh(now time.Duration, n int64, maxAge time.Duration) *histogram {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h := w.cached.Load(); h != nil && now-h.computedAt < maxAge {
		return h
	}
	h := &histogram{computedAt: now}
	for i := range w.slices {
		s := &w.slices[i]
		if s.number.Load() <= n-windowSlices {
			continue
		}
		for j := range s.counts {
			c := uint64(s.counts[j].Load())
			h.counts[j] += c
			h.total += c
		}
	}
	w.cached.Store(h)
	return h
}

// quantile interpolates linearly within the bucket that contains the quantile.
func (h *histogram) quantile(permille int) time.Duration {
	rank := float64(h.total) * float64(min(max(permille, 0), 1000)) / 1000
	below := 0.0
	for i, c := range h.counts {
		if c > 0 && below+float64(c) >= rank {
			low, high := bucketBounds(i)
			micros := float64(low) + float64(high-low)*(rank-below)/float64(c)
			return time.Duration(micros * float64(time.Microsecond))
		}
		below += float64(c)
	}
	return 0
}

// bucketIndex returns the index of the bucket that counts a latency.
func bucketIndex(latency time.Duration) int {
	micros := uint64(max(0, latency/time.Microsecond))
	if micros < subBuckets {
		return int(micros)
	}
	shift := bits.Len64(micros) - bits.Len64(subBuckets)
	return min(bucketCount-1, shift*subBuckets+int(micros>>shift))
}

// bucketBounds returns the bounds of a bucket in microseconds.
func bucketBounds(i int) (low, high uint64) {
	if i < subBuckets {
		return uint64(i), uint64(i) + 1
	}
	shift := i/subBuckets - 1
	low = uint64(subBuckets+i%subBuckets) << shift
	return low, low + 1<<shift
}
