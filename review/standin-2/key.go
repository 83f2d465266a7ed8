package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/briarstand/briarstand/standin"
)

// sentBody is the body that standin.Caller sends with a POST.
const sentBody = "one seat"

// runOddKey lets another writer leave one entry more of a backend server, whose key ends
// with a line break. What reaches the servers must be what the clients have sent.
func runOddKey(r *record, trouble bool) (string, error) {
	d, err := newDeployment(r)
	if err != nil {
		return "", &unusableError{err}
	}
	defer d.close()
	stock := d.addServer("inventory", 10*time.Millisecond)
	d.addServer("inventory", 10*time.Millisecond)
	d.store.Configure(1, standin.Route{
		Name: "stock", Host: host, Prefix: "/stock/", Kind: "non_idempotent", TimeoutMS: 3000, GoalMS: 300, MaxAttempts: 1, Service: "inventory",
	})
	if err := d.startVMs(3); err != nil {
		return "", &unusableError{err}
	}
	time.Sleep(2 * time.Second)
	variant := os.Getenv("VARIANT")
	method, body := http.MethodPost, sentBody
	if variant == "request" {
		method, body = http.MethodGet, ""
	}
	start := time.Now()
	var mu sync.Mutex
	sentIDs := map[string]bool{}
	var requests []sent
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Go(func() {
			for n := 0; time.Since(start) < trafficTime; n++ {
				id := fmt.Sprintf("c%d-%d", i, n)
				mu.Lock()
				sentIDs[id] = true
				mu.Unlock()
				answer := d.send(d.vms[i%len(d.vms)], method, "/stock/x", id, time.Second)
				mu.Lock()
				requests = append(requests, answer)
				mu.Unlock()
				time.Sleep(clientPause)
			}
		})
	}
	if trouble {
		time.Sleep(foreignEntryAt)
		fields := stock.fields()
		fields["sequence"] = 1
		key := oddKey(stock, variant)
		d.store.Put(key, mustJSON(fields))
		r.printf("another writer wrote %q: %s", key, mustJSON(fields))
	}
	clients.Wait()
	r.printf("answers by status: %v", statuses(requests))

	changed, unasked := 0, 0
	for _, s := range d.servers {
		for _, run := range s.backend.Runs() {
			mark := ""
			switch {
			case !sentIDs[run.ID]:
				unasked++
				mark = ", which no client sent"
			case run.Method != method || run.Target != "/stock/x" || run.Body != body:
				changed++
				mark = ", changed"
			}
			r.printf("server %s ran %s: %s %s %q at %.3f%s", s.backend.ID, run.ID, run.Method, run.Target, run.Body, run.At.Sub(r.start).Seconds(), mark)
		}
	}
	if changed+unasked > 0 {
		return fmt.Sprintf("UNASKED: %d requests ran with a changed body, %d that no client sent", changed, unasked), nil
	}
	return "", nil
}

// oddKey returns the key of the entry. In the variant "crlf" the line break is that of
// HTTP, in the variant "request" a whole request follows it.
func oddKey(s *server, variant string) string {
	switch variant {
	case "request":
	case "crlf":
		return s.key() + "\r\n"
	default:
		return s.key() + "\n"
	}
	return fmt.Sprintf("servers/x\r\n\r\nGET /stock/smuggled HTTP/1.1\r\nHost: %s\r\nX-Request-Id: smuggled\r\nX-Target-Instance: %s", host, s.backend.ID)
}
