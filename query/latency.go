package query

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// latencyWindow is the age at which samples start to be forgotten.
	latencyWindow = 10 * time.Second
	// latencyRefresh is how often the percentile is computed again.
	latencyRefresh = 100 * time.Millisecond
	// minLatencySamples is the number of samples below which a percentile
	// says too little.
	minLatencySamples = 50

	minLatencyMicros = 1
	maxLatencyMicros = int64(60 * time.Second / time.Microsecond)
	latencyDigits    = 2
)

// latencies tracks the recent latency of the sub-requests of one service.
type latencies struct {
	mu        sync.Mutex
	current   *hdrhistogram.Histogram
	previous  *hdrhistogram.Histogram
	rotate    time.Time
	refresh   time.Time
	permille  int
	threshold atomic.Int64 // percentile in nanoseconds, 0 while unknown
}

func newLatencies() *latencies {
	return &latencies{
		current:  hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits),
		previous: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits),
		rotate:   time.Now().Add(latencyWindow),
	}
}

// percentile returns the tracked percentile, or 0 while it is unknown.
func (l *latencies) percentile() time.Duration { return time.Duration(l.threshold.Load()) }

// record adds samples and updates the percentile, in parts per thousand, when
// it is due.
func (l *latencies) record(samples []time.Duration, permille int, now time.Time) {
	if len(samples) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turn(now)
	for _, s := range samples {
		micros := min(max(int64(s/time.Microsecond), minLatencyMicros), maxLatencyMicros)
		// Values are inside the histogram's range, so this cannot fail.
		_ = l.current.RecordValue(micros)
	}
	if permille != l.permille || !now.Before(l.refresh) {
		l.permille = permille
		l.refresh = now.Add(latencyRefresh)
		l.update()
	}
}

// turn replaces the older half of the samples when the window has passed.
func (l *latencies) turn(now time.Time) {
	late := now.Sub(l.rotate)
	if late < 0 {
		return
	}
	l.current, l.previous = l.previous, l.current
	l.current.Reset()
	if late >= latencyWindow {
		l.previous.Reset()
	}
	l.rotate = now.Add(latencyWindow)
}

func (l *latencies) update() {
	both := l.current
	if l.previous.TotalCount() > 0 {
		both = hdrhistogram.Import(l.current.Export())
		both.Merge(l.previous)
	}
	if both.TotalCount() < minLatencySamples {
		l.threshold.Store(0)
		return
	}
	micros := both.ValueAtQuantile(float64(l.permille) / 10)
	l.threshold.Store(int64(time.Duration(micros) * time.Microsecond))
}
