package main

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/briarstand/briarstand/standin"
)

// Times of the case of the foreign entry.
const (
	foreignEntryAt = 3 * time.Second // after the start of traffic
	trafficTime    = 9 * time.Second
	clientPause    = 20 * time.Millisecond
)

// runForeignEntry lets another writer replace the entry of a backend server once, by
// one that lacks the field "born" and names another service. Such an entry names no
// server to use, so no request of the other service may run there. The server
// writes its own entry again with its next beat.
func runForeignEntry(r *record, trouble bool) (string, error) {
	d, err := newDeployment(r)
	if err != nil {
		return "", &unusableError{err}
	}
	defer d.close()
	for range 2 {
		d.addServer("quotes", 10*time.Millisecond)
	}
	stock := d.addServer("inventory", 10*time.Millisecond)
	d.addServer("inventory", 10*time.Millisecond)
	d.store.Configure(1,
		standin.Route{Name: "quote", Host: host, Prefix: "/quote/", Kind: "idempotent", TimeoutMS: 3000, GoalMS: 300, MaxAttempts: 2, Service: "quotes"},
		standin.Route{Name: "stock", Host: host, Prefix: "/stock/", Kind: "idempotent", TimeoutMS: 3000, GoalMS: 300, MaxAttempts: 2, Service: "inventory"},
	)
	if err := d.startVMs(3); err != nil {
		return "", &unusableError{err}
	}
	time.Sleep(2 * time.Second)

	start := time.Now()
	var mu sync.Mutex
	var requests []sent
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Go(func() {
			for n := 0; time.Since(start) < trafficTime; n++ {
				path := "/quote/x"
				if (n+i)%3 == 0 {
					path = "/stock/x"
				}
				answer := d.send(d.vms[i%len(d.vms)], "GET", path, fmt.Sprintf("c%d-%d", i, n), time.Second)
				mu.Lock()
				requests = append(requests, answer)
				mu.Unlock()
				time.Sleep(clientPause)
			}
		})
	}
	var gone time.Time // when the entry of the server was removed; only in the variant "gone"
	if trouble {
		time.Sleep(foreignEntryAt)
		fields := stock.fields()
		fields["service"], fields["sequence"] = "quotes", 1
		if os.Getenv("VARIANT") == "gone" {
			gone = stock.leave()
			time.Sleep(time.Second)
			fields["service"] = "inventory"
		}
		value := foreignValue(fields, os.Getenv("VARIANT"))
		d.store.Put(stock.key(), value)
		r.printf("another writer wrote %s: %q", stock.key(), value)
	}
	clients.Wait()
	r.printf("answers by status: %v", statuses(requests))

	wrong, ids := 0, map[string]bool{}
	for _, s := range d.servers {
		for _, run := range s.backend.Runs() {
			r.printf("server %s of %s ran %s %s at %.3f", s.backend.ID, s.backend.Service, run.ID, run.Target, run.At.Sub(r.start).Seconds())
			want := "quotes"
			if strings.HasPrefix(run.Target, "/stock/") {
				want = "inventory"
			}
			if s.backend.Service != want {
				wrong++
				ids[run.ID] = true
			}
		}
	}
	if !gone.IsZero() {
		late := 0
		for _, run := range stock.backend.Runs() {
			if run.At.Sub(gone) > usualDrain {
				late++
			}
		}
		if late > 0 {
			return fmt.Sprintf("DRAIN: %d requests reached a server later than %v after its entry had been removed", late, usualDrain), nil
		}
	}
	foreign := 0
	for _, request := range requests {
		if ids[request.id] && request.status == 200 && strings.Contains(request.body, "inventory") {
			foreign++
		}
	}
	if wrong > 0 {
		return fmt.Sprintf("ROUTE: %d requests of quotes ran at a server of inventory, and %d clients got its answer as a success", wrong, foreign), nil
	}
	return "", nil
}

// foreignValue returns an entry that names no server to use: by default it lacks the
// field "born". Other variants: "bytes" has the field, but is no UTF-8, "names" has
// other names of fields, and "type" has null instead of a number. In the variant "gone"
// the server has left, and its entry, without the field "born", is written again.
func foreignValue(fields map[string]any, variant string) []byte {
	switch variant {
	case "bytes":
		return bytes.Replace(mustJSON(fields), []byte("v1"), []byte("v\xff\xfe"), 1)
	case "names":
		return bytes.Replace(mustJSON(fields), []byte(`"state"`), []byte(`"STATE"`), 1)
	case "type":
		fields["born"] = nil
	default:
		delete(fields, "born")
	}
	return mustJSON(fields)
}
