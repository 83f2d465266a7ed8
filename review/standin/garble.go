package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/briarstand/briarstand/standin"
)

func init() { cases["garble"] = garble }

const (
	// garbleShare of the searchers of a service spoil garblePart of their answers
	// for garbleFor, again after garblePause: the shares of the kind garble.
	garbleShare  = 0.5
	garblePart   = 0.02
	garbleFor    = 5500 * time.Millisecond
	garblePause  = 500 * time.Millisecond
	garbleSpells = 8
	// quoteBytes is the size of an answer of the service order-desk.
	quoteBytes = 512 << 10
	// garbleEnd is when the load ends.
	garbleEnd = 104 * time.Second
)

// garbageBytes are the lengths of spoiled answers, by turns.
var garbageBytes = []int{4000000, 1000000, quoteBytes}

// spoiler makes a searcher spoil a part of its answers while on is set: the status
// line then holds no status of HTTP, and other bytes than the answer's follow.
type spoiler struct {
	*searcher
	mu      sync.Mutex
	on      bool
	answers int
	body    []byte
}

func (s *spoiler) set(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.on = on
}

// spoils returns the length of the next answer if that is spoiled, and 0 if not.
func (s *spoiler) spoils() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	const every = int(1 / garblePart)
	if !s.on {
		return 0
	}
	s.answers++
	if s.answers%every != 0 {
		return 0
	}
	return garbageBytes[s.answers/every%len(garbageBytes)]
}

// ServeHTTP runs a request with the slots of the searcher.
func (s *spoiler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if t := r.Header.Get("X-Target-Instance"); t != s.id {
		w.Header().Set("X-Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.free <- struct{}{}
	time.Sleep(workOf(r.URL.Path))
	<-s.free
	if length := s.spoils(); length > 0 {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		garbage := bytes.Repeat([]byte("?"), length)
		s.d.logf("searcher %s spoils its answer to %s: status 000 and %d bytes", s.id, id, len(garbage))
		fmt.Fprintf(c, "HTTP/1.1 000 OK\r\nX-Request-Id: %s\r\nX-Server-Seal: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", id, s.seal(id), len(garbage), garbage)
		return
	}
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Server-Seal", s.seal(id))
	h.Set("Content-Length", fmt.Sprint(len(s.body)))
	_, _ = w.Write(s.body) // fails if the connection is closed
	s.d.logf("searcher %s has run %s", s.id, id)
}

// tally counts how requests ended.
type tally struct{ sent, served, refused, failed int }

func (t *tally) add(a answer) {
	t.sent++
	switch {
	case a.Err == nil && a.Status == http.StatusOK:
		t.served++
	case a.Err == nil && (a.Status == http.StatusServiceUnavailable || a.Status == http.StatusTooManyRequests):
		t.refused++
	default:
		t.failed++
	}
}

func (t tally) String() string {
	return fmt.Sprintf("%d sent, %d served, %d refused, %d failed", t.sent, t.served, t.refused, t.failed)
}

// garble plays searchers of one service that spoil a few of their answers for some
// seconds, several times, and are sound from then on. It checks how many requests
// are refused or fail in all, and how many are served in the end.
func garble(record string) (held bool, err error) {
	d, err := newDeployment(record, bounds{DrainMS: 3000, ConfigApplyMS: 3000, StabilityMS: 4000, GraceS: 6})
	if err != nil {
		return false, err
	}
	defer d.close()
	zones := map[string]string{"muenchen-nord": "oberbayern", "nuernberg-sued": "franken"}
	order := []string{"muenchen-nord", "nuernberg-sued"}
	add := func(id, service, zone string, size int) (*spoiler, error) {
		s, err := d.newSearcher(id, service, zone, 2, 8)
		if err != nil {
			return nil, err
		}
		sp := &spoiler{searcher: s, body: bytes.Repeat([]byte("0123456789abcdef"), size/16)}
		s.server.Handler = sp
		s.report("ready")
		return sp, nil
	}
	var quotes []*spoiler
	for i := range 4 {
		s, err := add(fmt.Sprintf("i-order-desk-%d", i), "order-desk", order[i%2], quoteBytes)
		if err != nil {
			return false, err
		}
		defer s.close()
		quotes = append(quotes, s)
	}
	conns := map[string]int{"order-desk": 244}
	var shards []string
	for i := range 4 {
		name := fmt.Sprintf("counter-search-%d", i)
		for j, zone := range order {
			s, err := add(fmt.Sprintf("i-%s-%d", name, j), name, zone, 400)
			if err != nil {
				return false, err
			}
			defer s.close()
		}
		shards = append(shards, name)
		conns[name] = 58
	}
	d.configure(1, conns,
		standin.Route{Name: "quote", Host: host, Prefix: "/quote/", Kind: "non_idempotent", TimeoutMS: 3000, GoalMS: 300, Priority: 2, MaxAttempts: 1, Service: "order-desk"},
		standin.Route{Name: "lookup", Host: host, Prefix: "/lookup/", Kind: "idempotent", TimeoutMS: 1000, GoalMS: 100, Priority: 1, MaxAttempts: 2, Shards: shards, Limit: 20, MinShare: 0.75},
	)
	if err := d.startVMs(zones, order, 1); err != nil {
		return false, err
	}

	start := time.Now()
	var mu sync.Mutex
	all, end := map[string]*tally{"quote": {}, "lookup": {}}, map[string]*tally{"quote": {}, "lookup": {}}
	count := func(kind string, a answer) {
		mu.Lock()
		defer mu.Unlock()
		all[kind].add(a)
		if time.Since(start) > garbleEnd-20*time.Second {
			end[kind].add(a)
		}
	}
	var clients sync.WaitGroup
	for i := range 16 {
		clients.Go(func() {
			client := newClient()
			for time.Since(start) < garbleEnd {
				v := d.vms[rand.IntN(len(d.vms))]
				if i == 0 {
					count("lookup", d.send(client, v, "GET", "/lookup/w5/x", "", time.Second))
					time.Sleep(200 * time.Millisecond)
				} else {
					count("quote", d.send(client, v, "POST", "/quote/w20/x", "a quote, please", 3*time.Second))
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	for i := 0; d.trouble && i < garbleSpells; i++ {
		for j, s := range quotes {
			s.set(float64(j) < garbleShare*float64(len(quotes)))
		}
		d.logf("spell %d: %.0f in 100 searchers of order-desk spoil %.0f in 100 answers", i+1, 100*garbleShare, 100*garblePart)
		time.Sleep(garbleFor)
		for _, s := range quotes {
			s.set(false)
		}
		d.logf("spell %d is over: all searchers are sound", i+1)
		time.Sleep(garblePause)
	}
	clients.Wait()
	for _, v := range d.vms {
		resp, err := http.Get("http://" + v.address(readyPort) + "/readiness")
		if err == nil {
			resp.Body.Close()
			d.logf("%s: readiness %d", v.name, resp.StatusCode)
		}
	}
	total := tally{}
	for _, kind := range []string{"quote", "lookup"} {
		d.logf("%s: %v; in the last 20 s: %v", kind, all[kind], end[kind])
		total.sent += all[kind].sent
		total.served += all[kind].served
		total.refused += all[kind].refused
		total.failed += all[kind].failed
	}
	share := float64(total.refused+total.failed) / float64(total.sent)
	d.logf("all: %v; refused and failed: %.1f in 100, allowed 60", total, 100*share)
	held = share <= 0.6
	d.logf("held: %v", held)
	return held, nil
}
