package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/briarstand/briarstand/standin"
)

// fault is one kind of fault. start injects it and returns the function that ends
// it, to be called after d. It returns nil if there is nothing to undo.
type fault struct {
	name  string
	start func(h *harness, d time.Duration) (stop func())
}

const (
	// minFaultTime and maxFaultTime limit the duration of a fault, and
	// maxFaultPause the pause until the next one. Most pauses are shorter than
	// faults, so that faults overlap.
	minFaultTime  = 300 * time.Millisecond
	maxFaultTime  = 3 * time.Second
	maxFaultPause = 1200 * time.Millisecond
	// maxSeriesPause limits the pause between the steps of a series.
	maxSeriesPause = 400 * time.Millisecond
)

// injectFaults injects faults for the configured duration, and then ends those
// that are still active.
func (h *harness) injectFaults(ctx context.Context) {
	end := time.Now().Add(h.cfg.Duration)
	injected := slices.DeleteFunc(slices.Clone(faults), func(f fault) bool { return !strings.Contains(f.name, h.cfg.Faults) })
	if len(injected) == 0 {
		h.addViolation(Violation{"soak", "all", fmt.Sprintf("no fault has %q in its name", h.cfg.Faults)})
		return
	}
	var stopFuncs []func()
	for time.Now().Before(end) && ctx.Err() == nil {
		f := injected[h.rng.IntN(len(injected))]
		duration := minFaultTime + time.Duration(h.rng.Int64N(int64(maxFaultTime-minFaultTime)))
		pause := time.Duration(h.rng.Int64N(int64(maxFaultPause)))
		h.mu.Lock()
		h.cfg.Log("%v: %s for %v", time.Since(h.started).Round(time.Millisecond), f.name, duration.Round(time.Millisecond))
		h.faults[f.name]++
		h.mu.Unlock()
		if stop := f.start(h, duration); stop != nil {
			done := make(chan struct{})
			timer := time.AfterFunc(duration, func() { stop(); close(done) })
			stopFuncs = append(stopFuncs, func() {
				if timer.Stop() {
					stop()
					return
				}
				<-done
			})
		}
		time.Sleep(pause)
	}
	for _, stop := range stopFuncs {
		stop()
	}
}

func (h *harness) randomVM() *vm { return h.vms[h.rng.IntN(len(h.vms))] }

// randomBackend returns a random backend server that is not draining, of one of the
// services if there are any.
func (h *harness) randomBackend(services ...string) *backend {
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		if b := h.backends[h.rng.IntN(len(h.backends))]; !b.draining && (len(services) == 0 || slices.Contains(services, b.Service)) {
			return b
		}
	}
}

// backendsOfZone returns the backend servers of a zone that are not draining.
func (h *harness) backendsOfZone(zone string) (list []*backend) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.backends {
		if b.Zone == zone && !b.draining {
			list = append(list, b)
		}
	}
	return list
}

// recordStoreFault records a fault of the store, which affects all VMs.
func (h *harness) recordStoreFault(d time.Duration) {
	h.storeMu.Lock()
	defer h.storeMu.Unlock()
	now := time.Now()
	h.storeUnstable = append(h.storeUnstable, span{now, now.Add(d + stabilityPeriod)})
}

var faults = []fault{
	{"kill a VM", func(h *harness, d time.Duration) func() {
		v := h.randomVM()
		v.recordFault(stabilityPeriod)
		v.signal(syscall.SIGKILL)
		return nil
	}},
	{"kill most VMs", func(h *harness, d time.Duration) func() {
		for _, v := range h.vms {
			if h.rng.IntN(10) < 6 {
				v.recordFault(stabilityPeriod)
				v.signal(syscall.SIGKILL)
			}
		}
		return nil
	}},
	{"pause a VM", func(h *harness, d time.Duration) func() {
		v := h.randomVM()
		v.recordFault(d + stabilityPeriod)
		h.recordDisturbance("", d)
		v.signal(syscall.SIGSTOP)
		return func() { v.signal(syscall.SIGCONT) }
	}},
	{"pause a VM while callers leave", func(h *harness, d time.Duration) func() {
		v := h.randomVM()
		v.recordFault(d + stabilityPeriod)
		h.recordDisturbance("", d)
		h.departures.Add(1)
		v.signal(syscall.SIGSTOP)
		return func() {
			v.signal(syscall.SIGCONT)
			h.departures.Add(-1)
		}
	}},
	{"stop a VM", func(h *harness, d time.Duration) func() {
		h.stopVM(h.randomVM())
		return nil
	}},
	{"stop VMs in turn", func(h *harness, d time.Duration) func() {
		for _, v := range h.vms[:min(3, len(h.vms))] {
			h.stopVM(v)
			time.Sleep(d / 3)
		}
		return nil
	}},
	{"change settings", func(h *harness, d time.Duration) func() {
		h.randomVM().changeSettings(h.rng)
		return nil
	}},
	{"signals and restarts in series", func(h *harness, d time.Duration) func() {
		v, rng := h.randomVM(), rand.New(rand.NewPCG(h.rng.Uint64(), 2))
		return h.inSeries(d, rng, func() {
			switch rng.IntN(4) {
			case 0:
				h.stopVM(v)
			case 1:
				v.changeSettings(rng)
			default:
				v.signal(syscall.SIGHUP)
			}
		})
	}},
	{"stops that overlap", func(h *harness, d time.Duration) func() {
		rng := rand.New(rand.NewPCG(h.rng.Uint64(), 3))
		return h.inSeries(d, rng, func() { h.stopVM(h.vms[rng.IntN(len(h.vms))]) })
	}},
	{"configurations in series", func(h *harness, d time.Duration) func() {
		return h.inSeries(d, rand.New(rand.NewPCG(h.rng.Uint64(), 4)), h.publishVersion)
	}},
	{"store busy", storeFault(standin.Busy, false)},
	{"store resets", storeFault(standin.Reset, false)},
	{"store silent", storeFault(standin.Silent, false)},
	{"store down, leases lapse", storeFault(standin.Silent, true)},
	{"store loses answers", storeFault(standin.LostReplies, false)},
	{"store slow", func(h *harness, d time.Duration) func() {
		h.recordStoreFault(d)
		h.store.SetDelay(200 * time.Millisecond)
		return func() { h.store.SetDelay(0) }
	}},
	{"store forgets its history", func(h *harness, d time.Duration) func() {
		h.recordStoreFault(0)
		h.store.Compact()
		return nil
	}},
	{"store comes back from an older copy", func(h *harness, d time.Duration) func() {
		older := h.store.Copy()
		time.Sleep(d / 2) // what is written meanwhile is lost
		h.recordStoreFault(d)
		h.store.SetFault(standin.Reset)
		return func() {
			h.store.ComeBack(older)
			h.recordStoreFault(0)
			h.store.SetFault(standin.Healthy)
			h.writeAgain()
		}
	}},
	{"store turns a VM away", vmStoreFault(modeRefuse)},
	{"store is silent for a VM", vmStoreFault(modeSilence)},
	{"store's connections are reset", vmStoreFault(modeReset)},
	{"server behind slow link", backendProxyFault(modeDelay)},
	{"server's connections are reset", backendProxyFault(modeReset)},
	{"server silent", backendProxyFault(modeSilence)},
	{"server cut one way", backendProxyFault(modeOneWay)},
	{"server refuses connections", backendProxyFault(modeRefuse)},
	{"server sends without end", backendProxyFault(modeEndless)},
	{"server sends answers twice", backendProxyFault(modeRepeat)},
	{"server fails", backendFault(standin.Behavior{Fail: true})},
	{"server refuses requests", backendFault(standin.Behavior{Refuse: true})},
	{"server asks for pauses", func(h *harness, d time.Duration) func() {
		b := h.randomBackend("quotes", "book")
		b.SetBehavior(standin.Behavior{Refuse: true, Pause: 2 * time.Second})
		return func() { b.SetBehavior(normalBehavior) }
	}},
	{"server leaves by its answers only", func(h *harness, d time.Duration) func() {
		b := h.randomBackend("quotes", "book")
		if _, err := h.addBackend(b.Service); err != nil {
			h.addViolation(Violation{"soak", b.ID, err.Error()})
			return nil
		}
		h.mu.Lock()
		b.draining = true
		h.mu.Unlock()
		behavior := normalBehavior
		behavior.Leaving = true
		b.SetBehavior(behavior)
		return nil
	}},
	{"server hangs", backendFault(standin.Behavior{Hang: true})},
	{"servers of a zone hang and callers leave", func(h *harness, d time.Duration) func() {
		servers := h.backendsOfZone(h.randomBackend().Zone)
		for _, b := range servers {
			b.SetBehavior(standin.Behavior{Hang: true})
		}
		h.departures.Add(1)
		return func() {
			h.departures.Add(-1)
			for _, b := range servers {
				b.SetBehavior(normalBehavior)
			}
		}
	}},
	{"server slow", backendFault(standin.Behavior{ServiceTime: 200 * time.Millisecond})},
	{"server loses answers", backendFault(standin.Behavior{Drop: true})},
	{"server breaks answers off", backendFault(standin.Behavior{Truncate: true})},
	{"server sends more than its answer", backendFault(standin.Behavior{ExtraReply: true})},
	{"server leaves", func(h *harness, d time.Duration) func() {
		b := h.randomBackend()
		if _, err := h.addBackend(b.Service); err != nil {
			h.addViolation(Violation{"soak", b.ID, err.Error()})
			return nil
		}
		h.drain(b, h.rng.IntN(2) == 0)
		return nil
	}},
	{"servers of a service leave while requests wait for them", func(h *harness, d time.Duration) func() {
		leaving := h.backendsOf("desk")
		for _, b := range leaving {
			b.SetBehavior(standin.Behavior{ServiceTime: patientTimeout * 6 / 7})
		}
		say := []bool{h.rng.IntN(2) == 0, h.rng.IntN(2) == 0}
		timer := time.AfterFunc(minFaultTime/3, func() {
			for i, b := range leaving {
				h.drain(b, say[i%len(say)])
			}
		})
		return func() {
			drained := !timer.Stop()
			for _, b := range leaving {
				b.SetBehavior(normalBehavior)
				if !drained {
					continue
				}
				if _, err := h.addBackend(b.Service); err != nil {
					h.addViolation(Violation{"soak", b.ID, err.Error()})
				}
			}
		}
	}},
	{"sources lose the store right after changes", func(h *harness, _ time.Duration) func() {
		rng := rand.New(rand.NewPCG(h.rng.Uint64(), 5))
		sources := []*vm{h.source(h.vms[0]), h.source(h.vms[1])} // of both zones
		for _, v := range sources {
			v.recordFault(2*maxDrainDelay + stabilityPeriod)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			h.publishVersion()
			time.Sleep(time.Duration(rng.Int64N(int64(maxDrainDelay / 10))))
			h.publishVersion()
			time.Sleep(time.Duration(rng.Int64N(int64(maxDrainDelay / 4))))
			for _, v := range sources {
				v.store.setMode(modeSilence)
			}
			time.Sleep(maxDrainDelay + 2*delayMargin)
			for _, v := range sources {
				v.store.setMode(modePass)
			}
		}()
		return func() { <-done }
	}},
	{"servers leave while some VMs lose the store", func(h *harness, _ time.Duration) func() {
		rng := rand.New(rand.NewPCG(h.rng.Uint64(), 7))
		reset, silent := h.someVMs(rng), h.someVMs(rng)
		leaving := h.backendsOf("desk")
		done := make(chan struct{})
		go func() {
			defer close(done)
			h.loseStore(reset, modeReset, maxDrainDelay/6)
			time.Sleep(time.Duration(rng.Int64N(int64(maxDrainDelay / 2))))
			restored := make(chan struct{})
			go func() {
				defer close(restored)
				h.loseStore(silent, modeSilence, maxDrainDelay)
			}()
			for _, b := range leaving {
				h.drain(b, rng.IntN(2) == 0)
			}
			h.publishVersion()
			<-restored
			for _, b := range leaving {
				if _, err := h.addBackend(b.Service); err != nil {
					h.addViolation(Violation{"soak", b.ID, err.Error()})
				}
			}
		}()
		return func() { <-done }
	}},
	{"servers answer with garbage status lines", func(h *harness, d time.Duration) func() {
		servers := h.backendsOf("quotes")
		for _, b := range servers {
			b.SetBehavior(standin.Behavior{StatusLine: "HTTP/1.1 000 OK", Padding: 7 << 19})
		}
		return func() {
			for _, b := range servers {
				b.SetBehavior(normalBehavior)
			}
		}
	}},
	{"a server's record is removed while all VMs restart", func(h *harness, d time.Duration) func() {
		b := h.randomBackend()
		if _, err := h.addBackend(b.Service); err != nil {
			h.addViolation(Violation{"soak", b.ID, err.Error()})
			return nil
		}
		h.mu.Lock()
		b.draining = true
		h.mu.Unlock()
		slow := h.randomVM()
		slow.store.setMode(modeDelay)
		for _, v := range h.vms {
			v.recordFault(stabilityPeriod)
			v.signal(syscall.SIGKILL)
		}
		removal := time.Duration(h.rng.Int64N(int64(200 * time.Millisecond)))
		timer := time.AfterFunc(slow.restartDelay+removal, func() { h.drain(b, false) })
		return func() {
			slow.store.setMode(modePass)
			if timer.Stop() {
				h.drain(b, false)
			}
		}
	}},
}

// someVMs returns a random part of the VMs, with at least one.
func (h *harness) someVMs(rng *rand.Rand) (some []*vm) {
	for _, i := range rng.Perm(len(h.vms))[:1+rng.IntN(len(h.vms)/2)] {
		some = append(some, h.vms[i])
	}
	return some
}

// loseStore cuts VMs off from the store for a time.
func (h *harness) loseStore(vms []*vm, m mode, d time.Duration) {
	for _, v := range vms {
		v.recordFault(d + stabilityPeriod)
		v.store.setMode(m)
	}
	time.Sleep(d)
	for _, v := range vms {
		v.store.setMode(modePass)
	}
}

// source returns the VM that reads the store for a VM of the same zone: the first one, by
// id, of those in the zone that callers are sent to. It returns the VM itself if that is
// not known.
func (h *harness) source(of *vm) *vm {
	c := &standin.Caller{Zone: of.settings.Zone, Region: of.settings.Region, Client: &http.Client{Timeout: time.Second}}
	addresses, err := c.Resolve(context.Background(), of.settings.ResolveAddress, host)
	if err != nil {
		return of
	}
	for _, v := range h.vms { // ordered by id
		if v.settings.Zone == of.settings.Zone && slices.Contains(addresses, v.settings.CallerAddress) {
			return v
		}
	}
	return of
}

// writeAgain lets the servers and the operator write their records again, after the store
// has lost some.
func (h *harness) writeAgain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	removed := map[string]bool{}
	for _, d := range h.drains {
		removed[d.backend] = !d.said
	}
	for _, b := range h.backends {
		if removed[b.ID] {
			h.store.Delete("servers/" + b.ID)
		} else {
			b.RegisterAgain(h.store)
		}
	}
	h.writeVersion()
}

// drain makes a server leave: it says so, or removes its record.
func (h *harness) drain(b *backend, says bool) {
	h.mu.Lock()
	b.draining = true
	h.mu.Unlock()
	if says {
		b.RegisterAt(h.store, "draining", b.proxy.address())
	} else {
		h.store.Delete("servers/" + b.ID)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drains = append(h.drains, drainedBackend{backend: b.ID, acked: time.Now(), said: says})
}

// excused reports whether the drain bound does not apply to a request: the store was not
// stable when it acknowledged the change or at the request, the server's link was
// disturbed lately, or a VM that may have sent the request was not stable.
func (h *harness) excused(u lateUse) bool {
	at := u.run.At
	if !h.storeStable(u.drain.acked, u.drain.acked) || !h.storeStable(at, at) || overlapAny(h.disturbances[u.drain.backend], at.Add(-stabilityPeriod), at) {
		return true
	}
	return slices.ContainsFunc(h.vms, func(v *vm) bool { return (u.vm == "" || u.vm == v.settings.ID) && !v.stable(at, at) })
}

// backendsOf returns the servers of a service that do not leave.
func (h *harness) backendsOf(service string) (list []*backend) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.backends {
		if b.Service == service && !b.draining {
			list = append(list, b)
		}
	}
	return list
}

// inSeries calls step with short pauses, at most maxSeriesPause each, until d has
// passed or the returned function is called.
func (h *harness) inSeries(d time.Duration, rng *rand.Rand, step func()) (stop func()) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			step()
			time.Sleep(time.Duration(rng.Int64N(int64(maxSeriesPause))))
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// stopVM shuts a VM down gracefully with SIGTERM. The VM must not abort requests in
// flight, unless another fault affects it.
func (h *harness) stopVM(v *vm) {
	start := time.Now()
	planned := v.stable(start.Add(-stabilityPeriod), start)
	v.markUnstable(graceS*time.Second + stabilityPeriod)
	v.signal(syscall.SIGTERM)
	if planned {
		h.mu.Lock()
		h.plannedStops = append(h.plannedStops, plannedStop{v, start, start.Add(graceS * time.Second)})
		h.mu.Unlock()
	}
}

func storeFault(f standin.Fault, expireLeases bool) func(*harness, time.Duration) func() {
	return func(h *harness, d time.Duration) func() {
		h.recordStoreFault(d)
		h.store.SetFault(f)
		if expireLeases {
			h.store.ExpireLeases()
		}
		return func() { h.store.SetFault(standin.Healthy) }
	}
}

func vmStoreFault(m mode) func(*harness, time.Duration) func() {
	return func(h *harness, d time.Duration) func() {
		v := h.randomVM()
		v.recordFault(d + stabilityPeriod)
		v.store.setMode(m)
		return func() { v.store.setMode(modePass) }
	}
}

func backendProxyFault(m mode) func(*harness, time.Duration) func() {
	return func(h *harness, d time.Duration) func() {
		b := h.randomBackend()
		h.recordDisturbance(b.ID, d)
		b.proxy.setMode(m)
		return func() { b.proxy.setMode(modePass) }
	}
}

func backendFault(behavior standin.Behavior) func(*harness, time.Duration) func() {
	return func(h *harness, d time.Duration) func() {
		b := h.randomBackend()
		b.SetBehavior(behavior)
		return func() { b.SetBehavior(normalBehavior) }
	}
}
