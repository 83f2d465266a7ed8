package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/briarstand/briarstand/standin"
)

// Figures of the case of configurations in quick succession.
const (
	longDrain   = 30 * time.Second // the bound drain_ms of this deployment
	stormAt     = 2 * time.Second  // after the start of traffic
	stormPause  = 330 * time.Millisecond
	stormLength = time.Second
	stormStay   = 8 * time.Second // time of traffic after the last configuration
)

// quoteRoute is the route whose service the configurations change.
func quoteRoute(service string) standin.Route {
	return standin.Route{Name: "quote", Host: host, Prefix: "/quote/", Kind: "idempotent", TimeoutMS: 3000, GoalMS: 300, MaxAttempts: 2, Service: service}
}

// runStorm changes the configuration several times in quick succession in a deployment
// whose bound of drains is longer than that of configurations. Each version moves
// the route to another service. After config_apply_ms no request may run at the service of
// an older version.
func runStorm(r *record, trouble bool) (string, error) {
	d, err := newDeployment(r)
	if err != nil {
		return "", &unusableError{err}
	}
	defer d.close()
	d.drain = longDrain
	services := []string{"quotes-1", "quotes-2", "quotes-3", "quotes-4", "quotes-5"}
	for _, service := range services {
		for range 2 {
			d.addServer(service, 5*time.Millisecond)
		}
	}
	d.store.Configure(1, quoteRoute(services[0]))
	if err := d.startVMs(3); err != nil {
		return "", &unusableError{err}
	}
	time.Sleep(14 * time.Second) // the changes of the start are over

	type version struct {
		service string
		acked   time.Time
	}
	versions := []version{{services[0], time.Now()}}
	start := time.Now()
	end := start.Add(stormAt + stormLength + stormStay)
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("c%d-%d", i, n)
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				d.send(d.vms[i%len(d.vms)], "GET", "/quote/x", id, time.Second)
				time.Sleep(clientPause)
			}
		})
	}
	time.Sleep(stormAt)
	for n := 1; n < len(services) && time.Since(start) < stormAt+stormLength; n++ {
		v := version{service: services[n]}
		d.store.Configure(int64(n+1), quoteRoute(v.service))
		v.acked = time.Now()
		versions = append(versions, v)
		r.printf("version %d moves the route to %s", n+1, v.service)
		if !trouble {
			break
		}
		time.Sleep(stormPause)
	}
	clients.Wait()

	late, latest := 0, time.Duration(0)
	for _, s := range d.servers {
		for _, run := range s.backend.Runs() {
			sent := sentAt[run.ID]
			// The newest version that is due, and those after it, are allowed.
			due := 0
			for i, v := range versions {
				if sent.Sub(v.acked) > configApply {
					due = i
				}
			}
			allowed := false
			for _, v := range versions[due:] {
				allowed = allowed || v.service == s.backend.Service
			}
			mark := ""
			if !allowed {
				late++
				latest = max(latest, sent.Sub(versions[due].acked))
				mark = ", only an older version allows it"
			}
			r.printf("server %s of %s ran %s, sent at %.3f%s", s.backend.ID, s.backend.Service, run.ID, sent.Sub(r.start).Seconds(), mark)
		}
	}
	if late > 0 {
		return fmt.Sprintf("CONFIG: %d requests ran as only an older version allows, the latest sent %v after the acknowledgement of a newer one", late, latest.Round(time.Millisecond)), nil
	}
	return "", nil
}
