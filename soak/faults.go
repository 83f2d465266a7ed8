package soak

import (
	"context"
	"syscall"
	"time"

	"github.com/briarstand/briarstand/standin"
)

// fault is one kind of fault. start injects it for about d and returns the
// function that ends it, or nil if nothing has to be undone.
type fault struct {
	name  string
	start func(w *world, d time.Duration) (end func())
}

const (
	// leastFault and mostFault limit the duration of a fault, and faultPause the
	// pause until the next one. Pauses are shorter, so that faults overlap.
	leastFault = 300 * time.Millisecond
	mostFault  = 3 * time.Second
	faultPause = 1200 * time.Millisecond
)

// play injects faults for the configured duration, and then ends those that are
// still active.
func (w *world) play(ctx context.Context) {
	end := time.Now().Add(w.cfg.Duration)
	var ends []func()
	for time.Now().Before(end) && ctx.Err() == nil {
		f := faults[w.random.IntN(len(faults))]
		lasts := leastFault + time.Duration(w.random.Int64N(int64(mostFault-leastFault)))
		pause := time.Duration(w.random.Int64N(int64(faultPause)))
		w.mu.Lock()
		w.cfg.Log("%v: %s for %v", time.Since(w.started).Round(time.Millisecond), f.name, lasts.Round(time.Millisecond))
		w.faults[f.name]++
		w.mu.Unlock()
		if stop := f.start(w, lasts); stop != nil {
			done := make(chan struct{})
			timer := time.AfterFunc(lasts, func() { stop(); close(done) })
			ends = append(ends, func() {
				if timer.Stop() {
					stop()
					return
				}
				<-done
			})
		}
		time.Sleep(pause)
	}
	for _, stop := range ends {
		stop()
	}
}

func (w *world) anyVM() *vm { return w.vms[w.random.IntN(len(w.vms))] }

// anyBackend returns a random backend server that is not draining.
func (w *world) anyBackend() *backend {
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		if b := w.backends[w.random.IntN(len(w.backends))]; !b.left {
			return b
		}
	}
}

// storeFault records a fault of the store, which affects all VMs.
func (w *world) storeFault(d time.Duration) {
	w.storeMu.Lock()
	defer w.storeMu.Unlock()
	now := time.Now()
	if now.After(w.storeUntil) {
		w.storeSince = now
	}
	if until := now.Add(d + settle); until.After(w.storeUntil) {
		w.storeUntil = until
	}
}

var faults = []fault{
	{"kill a VM", func(w *world, d time.Duration) func() {
		v := w.anyVM()
		v.disturb(settle)
		v.signal(syscall.SIGKILL)
		return nil
	}},
	{"kill most VMs", func(w *world, d time.Duration) func() {
		for _, v := range w.vms {
			if w.random.IntN(10) < 6 {
				v.disturb(settle)
				v.signal(syscall.SIGKILL)
			}
		}
		return nil
	}},
	{"pause a VM", func(w *world, d time.Duration) func() {
		v := w.anyVM()
		v.disturb(d + settle)
		v.signal(syscall.SIGSTOP)
		return func() { v.signal(syscall.SIGCONT) }
	}},
	{"stop a VM", func(w *world, d time.Duration) func() {
		w.stopVM(w.anyVM())
		return nil
	}},
	{"stop VMs in turn", func(w *world, d time.Duration) func() {
		for _, v := range w.vms[:min(3, len(w.vms))] {
			w.stopVM(v)
			time.Sleep(d / 3)
		}
		return nil
	}},
	{"change settings", func(w *world, d time.Duration) func() {
		v := w.anyVM()
		_ = v.writeSettings() // on an error the old file stays
		v.signal(syscall.SIGHUP)
		return nil
	}},
	{"store busy", storeFails(standin.Busy, false)},
	{"store resets", storeFails(standin.Reset, false)},
	{"store silent", storeFails(standin.Silent, false)},
	{"store down, leases lapse", storeFails(standin.Silent, true)},
	{"store loses answers", storeFails(standin.LostReplies, false)},
	{"store slow", func(w *world, d time.Duration) func() {
		w.storeFault(d)
		w.store.SetDelay(200 * time.Millisecond)
		return func() { w.store.SetDelay(0) }
	}},
	{"store forgets its history", func(w *world, d time.Duration) func() {
		w.storeFault(0)
		w.store.Compact()
		return nil
	}},
	{"store turns a VM away", vmStore(refuse)},
	{"store is silent for a VM", vmStore(silence)},
	{"store's connections are reset", vmStore(reset)},
	{"server behind slow link", serverProxy(delay)},
	{"server's connections are reset", serverProxy(reset)},
	{"server silent", serverProxy(silence)},
	{"server cut one way", serverProxy(oneWay)},
	{"server refuses connections", serverProxy(refuse)},
	{"server sends without end", serverProxy(endless)},
	{"server sends answers twice", serverProxy(repeat)},
	{"server fails", serverBehaves(standin.Behavior{Fail: true})},
	{"server refuses requests", serverBehaves(standin.Behavior{Refuse: true})},
	{"server slow", serverBehaves(standin.Behavior{Work: 200 * time.Millisecond})},
	{"server loses answers", serverBehaves(standin.Behavior{Drop: true})},
	{"server breaks answers off", serverBehaves(standin.Behavior{Truncate: true})},
	{"server sends more than its answer", serverBehaves(standin.Behavior{Extra: true})},
	{"server leaves", func(w *world, d time.Duration) func() {
		b := w.anyBackend()
		if _, err := w.addBackend(b.Service); err != nil {
			w.violation(Violation{"soak", b.ID, err.Error()})
			return nil
		}
		b.RegisterAt(w.store, "draining", b.proxy.address())
		acked := time.Now()
		w.mu.Lock()
		b.left = true
		w.mu.Unlock()
		// The limit applies only if no fault delays the update to the VMs.
		time.AfterFunc(drainBound+slowClock, func() {
			calm := w.storeCalm(acked.Add(-settle), time.Now())
			for _, v := range w.vms {
				calm = calm && v.calm(acked.Add(-settle), time.Now())
			}
			if calm {
				w.mu.Lock()
				w.left = append(w.left, drained{b.ID, acked.Add(drainBound + slowClock)})
				w.mu.Unlock()
			}
		})
		return nil
	}},
}

// stopVM shuts a VM down gracefully with SIGTERM. It must abort no request unless
// another fault affects it.
func (w *world) stopVM(v *vm) {
	start := time.Now()
	planned := v.calm(start.Add(-settle), start)
	v.excuse(graceS*time.Second + settle)
	v.signal(syscall.SIGTERM)
	if planned {
		w.mu.Lock()
		w.stops = append(w.stops, stopped{v, start, start.Add((graceS - 1) * time.Second)})
		w.mu.Unlock()
	}
}

func storeFails(f standin.Fault, lapse bool) func(*world, time.Duration) func() {
	return func(w *world, d time.Duration) func() {
		w.storeFault(d)
		w.store.SetFault(f)
		if lapse {
			w.store.LapseAll()
		}
		return func() { w.store.SetFault(standin.Healthy) }
	}
}

func vmStore(m mode) func(*world, time.Duration) func() {
	return func(w *world, d time.Duration) func() {
		v := w.anyVM()
		v.disturb(d + settle)
		v.store.set(m)
		return func() { v.store.set(pass) }
	}
}

func serverProxy(m mode) func(*world, time.Duration) func() {
	return func(w *world, d time.Duration) func() {
		b := w.anyBackend()
		b.proxy.set(m)
		return func() { b.proxy.set(pass) }
	}
}

func serverBehaves(behavior standin.Behavior) func(*world, time.Duration) func() {
	return func(w *world, d time.Duration) func() {
		b := w.anyBackend()
		b.SetBehavior(behavior)
		return func() { b.SetBehavior(standin.Behavior{Work: 5 * time.Millisecond}) }
	}
}
