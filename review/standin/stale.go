package main

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/briarstand/briarstand/standin"
)

func init() { cases["stale"] = stale }

// stale plays two configurations in quick succession, and a partition of one VM of
// each zone from the platform's store right after them: of the VM that was started
// first in its zone. It checks that the other VMs, which have a path to the store
// all the while, handle no request as only an older configuration allows later
// than config_apply_ms after the acknowledgement.
func stale(record string) (held bool, err error) {
	d, err := newDeployment(record, bounds{DrainMS: 3000, ConfigApplyMS: 3000, StabilityMS: 4000, GraceS: 6})
	if err != nil {
		return false, err
	}
	defer d.close()
	zones := map[string]string{"muenchen-nord": "oberbayern", "nuernberg-sued": "franken"}
	order := []string{"muenchen-nord", "nuernberg-sued"}
	for _, service := range []string{"order-desk", "billing-view"} {
		for _, zone := range order {
			s, err := d.newSearcher("i-"+service+"-"+zone, service, zone, 6, 8)
			if err != nil {
				return false, err
			}
			defer s.close()
			s.report("ready")
		}
	}
	conns := map[string]int{"order-desk": 244, "billing-view": 244}
	route := func(service string, timeoutMS int64) standin.Route {
		return standin.Route{Name: "order-fetch", Host: host, Prefix: "/order/", Kind: "idempotent", TimeoutMS: timeoutMS, GoalMS: 500, Priority: 2, MaxAttempts: 2, Service: service}
	}
	d.configure(1, conns, route("order-desk", 3000))
	const perZone = 3
	if err := d.startVMs(zones, order, perZone); err != nil {
		return false, err
	}

	var mu sync.Mutex
	var answers []answer
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, v := range d.vms {
		if i%perZone == 0 {
			continue // is cut off below
		}
		clients.Go(func() {
			client := newClient()
			for {
				a := d.send(client, v, "GET", "/order/w20/x", "", time.Second)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(time.Second)
	d.configure(2, conns, route("order-desk", 2900))
	time.Sleep(40 * time.Millisecond)
	acked := d.configure(3, conns, route("billing-view", 2900))
	time.Sleep(560 * time.Millisecond)
	for i := 0; d.trouble && i < len(d.vms); i += perZone {
		d.vms[i].link.cut()
		d.logf("%s is partitioned from the store", d.vms[i].name)
	}
	time.Sleep(5 * time.Second)
	for i := 0; d.trouble && i < len(d.vms); i += perZone {
		d.vms[i].link.heal()
		d.logf("%s reaches the store again", d.vms[i].name)
	}
	close(stop)
	clients.Wait()

	held = true
	for _, a := range answers {
		late := a.Sent.Sub(acked) - time.Duration(d.bounds.ConfigApplyMS)*time.Millisecond
		if late > 0 && a.Status == http.StatusOK && strings.Contains(a.Seal, "order-desk") {
			d.logf("CONFIG: request %s, sent to %s %.3f s after the acknowledgement, was run by the old service", a.ID, a.VM, a.Sent.Sub(acked).Seconds())
			held = false
		}
	}
	d.logf("held: %v", held)
	return held, nil
}
