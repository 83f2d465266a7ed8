package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/briarstand/briarstand/standin"
)

// Figures of the case of the pause.
const (
	regionDelay   = 8 * time.Millisecond // one way, between regions
	pauseWork     = 60 * time.Millisecond
	slowFactor    = 8
	quoteServers  = 2
	slowAt        = 2 * time.Second // after the start of traffic
	slowTime      = 6 * time.Second
	clientCount   = 18
	askedPause    = 2 * time.Second
	pauseGrace    = 500 * time.Millisecond // after the answer, in which requests may still arrive
	pauseRequests = 2                      // that may arrive after it
)

// runPause makes the two servers of a service slow for a while. Requests whose time
// budget ends in a queue are turned away with status 503 and Retry-After. After that no
// more than two requests of the same VM may reach the server until the pause has ended.
func runPause(r *record, trouble bool) (string, error) {
	d, err := newDeployment(r)
	if err != nil {
		return "", &unusableError{err}
	}
	defer d.close()
	var searchers []*searcher
	for i := range quoteServers {
		s := newSearcher(fmt.Sprintf("i-quotes-%d", i+1), "quotes", 2, 12, pauseWork, askedPause)
		defer s.close()
		l, err := newLink(s.address(), regionDelay)
		if err != nil {
			return "", &unusableError{err}
		}
		defer l.close()
		d.store.Put("servers/"+s.id, mustJSON(map[string]any{
			"service": s.service, "address": l.address(), "zone": "zone-3", "version": "v1", "slots": 2, "state": "ready",
			"warmup_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
		}))
		searchers = append(searchers, s)
	}
	d.store.Configure(1, standin.Route{
		Name: "quote", Host: host, Prefix: "/quote/", Kind: "idempotent", TimeoutMS: 1000, GoalMS: 300, MaxAttempts: 2, Service: "quotes",
	})
	if err := d.startVMs(3); err != nil {
		return "", &unusableError{err}
	}
	time.Sleep(2 * time.Second)
	start := time.Now()
	var clients sync.WaitGroup
	for i := range clientCount {
		clients.Go(func() {
			v := d.vms[i%len(d.vms)]
			for n := 0; time.Since(start) < slowAt+slowTime+2*time.Second; n++ {
				d.send(v, "GET", "/quote/x", fmt.Sprintf("%s/%d-%d", v.settings.ID, i, n), time.Second)
				time.Sleep(5 * clientPause)
			}
		})
	}
	if trouble {
		time.Sleep(slowAt)
		r.printf("servers turn slow")
		for _, s := range searchers {
			s.setWork(slowFactor * pauseWork)
		}
		time.Sleep(slowTime)
		r.printf("servers are as fast as before")
		for _, s := range searchers {
			s.setWork(pauseWork)
		}
	}
	clients.Wait()
	return checkPauses(r, searchers), nil
}

// checkPauses returns how the rule of the pause was broken; "" if it held.
func checkPauses(r *record, searchers []*searcher) string {
	broken, refusals := 0, 0
	example := ""
	for _, s := range searchers {
		s.mu.Lock()
		for _, a := range s.arrivals {
			r.printf("server %s got %s at %.3f", s.id, a.id, a.at.Sub(r.start).Seconds())
		}
		for _, a := range s.runs {
			r.printf("server %s began to run %s at %.3f", s.id, a.id, a.at.Sub(r.start).Seconds())
		}
		for _, refusal := range s.refusals {
			refusals++
			late := 0
			for _, a := range s.arrivals {
				after := a.at.Sub(refusal.at)
				if a.vm == refusal.vm && after > pauseGrace && after < s.pause {
					late++
				}
			}
			r.printf("server %s turned away %s of %s at %.3f with Retry-After %v: %d requests of this VM arrived from %v after it to the end of the pause",
				s.id, refusal.id, refusal.vm, refusal.at.Sub(r.start).Seconds(), s.pause.Seconds(), late, pauseGrace)
			if late > pauseRequests {
				broken++
				example = fmt.Sprintf("%s got %d requests of %s in a pause", s.id, late, refusal.vm)
			}
		}
		r.printf("server %s: %d requests", s.id, len(s.arrivals))
		s.mu.Unlock()
	}
	if broken > 0 {
		return fmt.Sprintf("BUDGET: after %d of %d refusals with Retry-After, more than %d requests of the VM reached the server in the pause; %s", broken, refusals, pauseRequests, example)
	}
	return ""
}
