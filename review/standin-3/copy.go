package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/briarstand/briarstand/standin"
)

// Times of the case, from the start of traffic.
const (
	host        = "review.example"
	copiedAt    = 1 * time.Second // the copy from which the store comes back
	changedAt   = 2 * time.Second
	awayAt      = 6 * time.Second
	awayTime    = 500 * time.Millisecond
	killedAfter = 300 * time.Millisecond // the store is back
	clientPause = 50 * time.Millisecond
	clientWait  = time.Second
	trafficTime = 24 * time.Second
	// operatorDelay is the time from the return of the store until the operator has written the
	// configuration again.
	operatorDelay = 8 * time.Second
)

// sent is a request of a client.
type sent struct {
	id, vm string
	at     time.Time
}

// runOlderCopy moves a route from a service to another one. Then the store comes back from a
// copy that is older than the change, and one VM is started again before the operator has
// written the configuration once more. It returns how many requests that were sent to VMs in
// touch, later than the bound after the acknowledgement of the change, ran at the old service.
func runOlderCopy(r *record, trouble bool) (late int, err error) {
	d, err := newDeployment(r)
	if err != nil {
		return 0, err
	}
	defer d.close()
	for i := range 2 {
		d.addBackend("old", i+1)
		d.addBackend("new", i+1)
	}
	d.configure(1, "old")
	if err := d.startVMs(4); err != nil {
		return 0, err
	}
	start := time.Now()
	until := func(t time.Duration) { time.Sleep(time.Until(start.Add(t))) }
	requests := make(chan sent, 1<<16)
	var clients sync.WaitGroup
	for i, v := range d.vms {
		clients.Go(func() {
			for n := 0; time.Since(start) < trafficTime; n++ {
				d.send(v, fmt.Sprintf("%d-%d", i+1, n), requests)
				time.Sleep(clientPause)
			}
		})
	}
	until(copiedAt)
	older := d.store.Copy()
	until(changedAt)
	d.configure(2, "new")
	acknowledged := time.Now()
	until(awayAt)
	if trouble {
		d.store.SetFault(standin.Reset)
		r.printf("the store is away")
	}
	until(awayAt + awayTime)
	back := time.Now()
	if trouble {
		d.store.ComeBack(older)
		d.store.SetFault(standin.Healthy)
		r.printf("the store is back from a copy that is %v old", back.Sub(start.Add(copiedAt)).Round(time.Millisecond))
	}
	time.Sleep(killedAfter)
	restarted := d.vms[len(d.vms)-1]
	if err := d.restart(restarted); err != nil {
		return 0, err
	}
	started := time.Now()
	if trouble {
		until(awayAt + awayTime + beatInterval)
		for _, b := range d.backends {
			b.RegisterAgain(d.store)
		}
		r.printf("the servers have written their entries again")
		until(awayAt + awayTime + delay())
		d.configure(2, "new")
	}
	clients.Wait()
	close(requests)
	return d.countLate(requests, acknowledged, back, started, restarted.settings.ID), nil
}

// delay returns operatorDelay, or the duration in the environment variable OPERATOR_DELAY.
func delay() time.Duration {
	if other, err := time.ParseDuration(os.Getenv("OPERATOR_DELAY")); err == nil {
		return other
	}
	return operatorDelay
}

// configure writes a configuration that sends all requests to one service.
func (d *deployment) configure(version int64, service string) {
	d.store.Configure(version, standin.Route{
		Name: "find", Host: host, Prefix: "/find/", Kind: "idempotent", TimeoutMS: 1000, GoalMS: 300, MaxAttempts: 2, Service: service,
	})
	d.record.printf("version %d of the configuration is acknowledged, its route goes to the service %s", version, service)
}

func (d *deployment) send(v *vm, id string, requests chan<- sent) {
	r := sent{id: id, vm: v.settings.ID, at: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 2*clientWait)
	defer cancel()
	caller := standin.Caller{Client: d.client}
	a, err := caller.Send(ctx, v.settings.CallerAddress, "GET", host, "/find/x", id, clientWait)
	d.record.printf("request %s to %s: status %d, error %v, body %q", id, r.vm, a.Status, err, a.Body)
	requests <- r
}

// countLate counts the requests that the old service ran, although the change had been
// acknowledged for longer than the bound when they were sent. Machines count from when they
// are in touch: stability after the return of the store and, if restarted, after their start.
func (d *deployment) countLate(requests <-chan sent, acknowledged, back, started time.Time, restarted string) (late int) {
	ranAt := map[string]string{}
	for _, b := range d.backends {
		for _, run := range b.Runs() {
			ranAt[run.ID] = b.Service
			d.record.printf("server %s ran %s at %.3f", b.ID, run.ID, run.At.Sub(d.record.start).Seconds())
		}
	}
	for q := range requests {
		inTouch := back.Add(stability)
		if q.vm == restarted && started.After(back) {
			inTouch = started.Add(stability)
		}
		if ranAt[q.id] == "old" && q.at.After(acknowledged.Add(configApply)) && q.at.After(inTouch) {
			late++
			d.record.printf("late: %s to %s, sent at %.3f, ran at the old service", q.id, q.vm, q.at.Sub(d.record.start).Seconds())
		}
	}
	return late
}
