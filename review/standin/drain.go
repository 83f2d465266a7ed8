package main

import (
	"sync"
	"time"

	"github.com/briarstand/briarstand/standin"
)

func init() { cases["drain"] = drain }

// drain plays a rolling replacement of one of two searchers while they work on long
// requests: the new one starts, then the old one reports that it drains. Requests of
// clients that came before wait in a VM for a connection to the old one. It checks
// that no request reaches the old one later than drain_ms after the store's
// acknowledgement.
func drain(record string) (held bool, err error) {
	// Figures of the service ticket-desk and the bounds of its site.
	d, err := newDeployment(record, bounds{DrainMS: 4000, ConfigApplyMS: 4000, StabilityMS: 5000, GraceS: 6})
	if err != nil {
		return false, err
	}
	defer d.close()
	zones := map[string]string{"nairobi-cbd": "nairobi", "mombasa-old-town": "mombasa", "kisumu-pier": "kisumu"}
	order := []string{"nairobi-cbd", "mombasa-old-town", "kisumu-pier"}
	old, err := d.newSearcher("i-old", "booking", order[0], 2, 12)
	if err != nil {
		return false, err
	}
	defer old.close()
	old.report("ready")
	other, err := d.newSearcher("i-other", "booking", order[0], 2, 12)
	if err != nil {
		return false, err
	}
	defer other.close()
	other.report("ready")
	d.configure(1, map[string]int{"booking": 56}, standin.Route{
		Name: "booking-fetch", Host: host, Prefix: "/booking/", Kind: "idempotent", TimeoutMS: 8000, GoalMS: 400, Priority: 2, MaxAttempts: 1, Service: "booking",
	})
	if err := d.startVMs(zones, order, 2); err != nil {
		return false, err
	}

	client := newClient()
	var clients sync.WaitGroup
	send := func(path string, n int) {
		for range n {
			clients.Go(func() { d.send(client, d.vms[0], "GET", path, "", 8*time.Second) })
			time.Sleep(10 * time.Millisecond)
		}
	}
	send("/booking/w5000/x", 6)
	send("/booking/w1000/x", 18)
	next, err := d.newSearcher("i-new", "booking", order[1], 2, 12)
	if err != nil {
		return false, err
	}
	defer next.close()
	next.report("ready")
	time.Sleep(50 * time.Millisecond)
	var acked time.Time
	if d.trouble {
		acked = old.report("draining")
	}
	clients.Wait()
	held = true
	for _, a := range old.seen() {
		if d.trouble && a.At.Sub(acked) > time.Duration(d.bounds.DrainMS)*time.Millisecond {
			d.logf("DRAIN: request %s reached %s %.3f s after the acknowledgement", a.ID, old.id, a.At.Sub(acked).Seconds())
			held = false
		}
	}
	d.logf("held: %v", held)
	return held, nil
}
