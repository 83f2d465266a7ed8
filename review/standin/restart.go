package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/briarstand/briarstand/standin"
)

func init() { cases["restart"] = restart }

// restart kills the processes of all VMs. As they start again, one of them has a
// link that loses packets at first, and a searcher leaves whose entry is removed. The rule
// is checked when all VMs are in touch again: no request reaches that searcher
// later than drain_ms after the acknowledgement.
func restart(record string) (held bool, err error) {
	d, err := newDeployment(record, bounds{DrainMS: 3000, ConfigApplyMS: 3000, StabilityMS: 4000, GraceS: 6})
	if err != nil {
		return false, err
	}
	defer d.close()
	d.store.SetPageSize(pageItems)
	zones := map[string]string{"muenchen-nord": "oberbayern", "nuernberg-sued": "franken"}
	order := []string{"muenchen-nord", "nuernberg-sued"}
	conns := map[string]int{}
	var shards []string
	var leaver *searcher
	for i := range 20 {
		name := fmt.Sprintf("counter-search-%02d", i)
		shards = append(shards, name)
		conns[name] = 58
		for j, zone := range order {
			s, err := d.newSearcher(fmt.Sprintf("i-%s-%d", name, j), name, zone, 2, 12)
			if err != nil {
				return false, err
			}
			defer s.close()
			s.report("ready")
			if j == 0 {
				leaver = s // in the end the last one of the first zone
			}
		}
	}
	for i := range 8 { // so that all entries need a second page
		s, err := d.newSearcher(fmt.Sprintf("a-order-desk-%d", i), "order-desk", order[i%2], 2, 8)
		if err != nil {
			return false, err
		}
		defer s.close()
		s.report("ready")
	}
	conns["order-desk"] = 244
	d.configure(1, conns, standin.Route{
		Name: "catalogue-sweep", Host: host, Prefix: "/lookup/", Kind: "idempotent", TimeoutMS: 1000, GoalMS: 100, Priority: 1, MaxAttempts: 2, Shards: shards, Limit: 10, MinShare: 0.75,
	})
	if err := d.startVMs(zones, order, 3); err != nil {
		return false, err
	}

	if d.trouble {
		if err := d.restartAll(); err != nil {
			return false, err
		}
	}
	leaver.leave()
	d.store.Delete("servers/" + leaver.id)
	acked := time.Now()
	d.logf("the entry of %s is removed: acknowledged by the store", leaver.id)
	// Until all VMs have run for longer than the stability time.
	time.Sleep(time.Duration(d.bounds.StabilityMS)*time.Millisecond + 2500*time.Millisecond)

	client := newClient()
	var served atomic.Int64
	var clients sync.WaitGroup
	for range 10 {
		for _, v := range d.vms[1:] {
			clients.Go(func() {
				if a := d.send(client, v, "GET", "/lookup/w15/x", "", time.Second); a.Err == nil && a.Status == http.StatusOK {
					served.Add(1)
				}
			})
		}
	}
	clients.Wait()
	d.logf("%d requests served", served.Load())
	held = true
	for _, a := range leaver.seen() {
		if a.At.Sub(acked) > time.Duration(d.bounds.DrainMS)*time.Millisecond {
			d.logf("DRAIN: request %s reached %s %.3f s after the acknowledgement", a.ID, leaver.id, a.At.Sub(acked).Seconds())
			held = false
		}
	}
	d.logf("held: %v", held)
	return held, nil
}

// restartAll kills the processes of all VMs and starts them again. The first answers
// of the store to the first VM are lost, and sent again after 200 ms.
func (d *deployment) restartAll() error {
	for _, v := range d.vms {
		d.kill(v)
	}
	time.Sleep(700 * time.Millisecond)
	first := d.vms[0]
	first.link.setDelay(200 * time.Millisecond)
	if err := d.startVM(first); err != nil {
		return err
	}
	time.Sleep(10 * time.Millisecond)
	for _, v := range d.vms[1:] {
		if err := d.startVM(v); err != nil {
			return err
		}
	}
	time.Sleep(45 * time.Millisecond)
	first.link.setDelay(0)
	return nil
}

// pageItems is how many items a page of the store has at most.
const pageItems = 50
