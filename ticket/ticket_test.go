package ticket

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testKey = []byte(strings.Repeat("k", keyBytes))

func outcome(reason string) *briarstandv1.QueryResponse {
	return &briarstandv1.QueryResponse{Outcome: briarstandv1.Outcome_OUTCOME_COMPLETE, Reason: reason}
}

// Guards against a request that runs again after its ticket expired, against removal
// of an entry whose request still runs when the ticket expires, and against a caller
// that modifies a stored outcome.
func TestExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		i := NewIssuer("vm-1", 1, Config{TTL: time.Second})
		running, ttl := i.Issue()
		unused, _ := i.Issue()
		c.Assert(ttl, qt.Equals, time.Second)
		e, first, err := i.Begin(running)
		c.Assert(err, qt.IsNil)
		c.Assert(first, qt.IsTrue)
		time.Sleep(2 * time.Second)

		var expired *ExpiredError
		_, _, err = i.Begin(unused)
		c.Assert(errors.As(err, &expired), qt.IsTrue)
		duplicate, first, err := i.Begin(running)
		c.Assert(err, qt.IsNil)
		c.Assert(first, qt.IsFalse)
		e.Finish(outcome("done"))
		e.Finish(outcome("again"))
		for range 2 {
			resp, err := duplicate.Wait(context.Background())
			c.Assert(err, qt.IsNil)
			c.Assert(resp.Reason, qt.Equals, "done")
			resp.Reason = "changed"
		}
		c.Assert(i.Entries(), qt.Equals, 0)
		_, _, err = i.Begin(running)
		c.Assert(errors.As(err, &expired), qt.IsTrue)
	})
}

// A full table must refuse tickets. A ticket that was reported as not run must not
// run later, when the table has space again.
func TestFullTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		i := NewIssuer("vm-1", 1, Config{TTL: time.Second, MaxEntries: 1})
		used, _ := i.Issue()
		e, _, err := i.Begin(used)
		c.Assert(err, qt.IsNil)
		e.Finish(outcome("done"))
		time.Sleep(500 * time.Millisecond)
		older, _ := i.Issue()
		refused, _ := i.Issue()
		later, _ := i.Issue()
		var full *FullError
		_, _, err = i.Begin(refused)
		c.Assert(errors.As(err, &full), qt.IsTrue)
		_, first, err := i.Begin(used)
		c.Assert(err, qt.IsNil)
		c.Assert(first, qt.IsFalse)
		time.Sleep(600 * time.Millisecond) // the used ticket expires
		for _, ticket := range []string{refused, older} {
			_, _, err = i.Begin(ticket)
			c.Assert(errors.As(err, &full), qt.IsTrue)
		}
		_, first, err = i.Begin(later)
		c.Assert(err, qt.IsNil)
		c.Assert(first, qt.IsTrue)
	})
}

// Forged tickets, tickets of other issuers, and a used ticket with a different
// request must be rejected.
func TestRejected(t *testing.T) {
	c := qt.New(t)
	i := NewIssuer("vm-1", 2, Config{Key: testKey})
	good, _ := i.Issue()
	other, _ := NewIssuer("vm-2", 2, Config{Key: testKey}).Issue()
	previous, _ := NewIssuer("vm-1", 1, Config{Key: testKey}).Issue()
	forged, _ := NewIssuer("vm-1", 2, Config{}).Issue()
	var invalid *InvalidError
	for _, ticket := range []string{"", "x", other, forged, good + "A", good[:len(good)-2], strings.Repeat("A", 2000)} {
		_, _, err := i.Begin(ticket)
		c.Assert(errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%q: %v", ticket, err))
	}
	var expired *ExpiredError
	_, _, err := i.Begin(previous)
	c.Assert(errors.As(err, &expired), qt.IsTrue)
	_, first, err := i.BeginFor(good, 1)
	c.Assert(err, qt.IsNil)
	c.Assert(first, qt.IsTrue)
	var reused *ReusedError
	_, _, err = i.BeginFor(good, 2)
	c.Assert(errors.As(err, &reused), qt.IsTrue)
}

// machine models an issuer across restarts: which tickets ran and what was
// reported about them.
type machine struct {
	issuer      *Issuer
	incarnation int64
	tickets     []string
	ran         map[string]int
	running     map[string]*Entry
	finished    map[string]string
	refused     map[string]bool // reported as not run
}

func (m *machine) restart(*rapid.T) {
	m.incarnation++
	m.issuer = NewIssuer("vm-1", m.incarnation, Config{TTL: time.Second, MaxEntries: 4, MaxBytes: 60})
	m.running = map[string]*Entry{}
}

func (m *machine) issue(*rapid.T) {
	ticket, _ := m.issuer.Issue()
	m.tickets = append(m.tickets, ticket)
}

func (m *machine) begin(t *rapid.T) {
	if len(m.tickets) == 0 {
		t.Skip("no ticket yet")
	}
	ticket := rapid.SampledFrom(m.tickets).Draw(t, "ticket")
	e, first, err := m.issuer.Begin(ticket)
	var expired *ExpiredError
	var full *FullError
	switch {
	case errors.As(err, &full):
		if m.ran[ticket] > 0 && m.finished[ticket] != "" {
			t.Fatal("a ticket that ran was refused as not run")
		}
		m.refused[ticket] = true
	case errors.As(err, &expired):
	case err != nil:
		t.Fatal(err)
	case first:
		m.ran[ticket]++
		m.running[ticket] = e
		if m.ran[ticket] > 1 || m.refused[ticket] {
			t.Fatalf("ran %d times, refused before: %v", m.ran[ticket], m.refused[ticket])
		}
	default:
		m.checkDuplicate(t, ticket, e)
	}
}

func (m *machine) checkDuplicate(t *rapid.T, ticket string, e *Entry) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
	defer cancel()
	resp, err := e.Wait(ctx)
	if want, ok := m.finished[ticket]; ok {
		if err != nil || resp.GetReason() != want {
			t.Fatalf("got outcome %v, %v; want %q", resp, err, want)
		}
	} else if err == nil || m.running[ticket] != e {
		t.Fatal("the duplicate did not wait for the running request")
	}
}

func (m *machine) finish(t *rapid.T) {
	for ticket, e := range m.running {
		m.finished[ticket] = fmt.Sprintf("outcome %d", len(m.finished))
		e.Finish(outcome(m.finished[ticket]))
		delete(m.running, ticket)
		return
	}
	t.Skip("no running request")
}

// No sequence of requests, duplicates, pauses, expiry and restarts may make a ticket
// run twice, run after it was refused, or lose its outcome.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, func() {
			m := &machine{ran: map[string]int{}, finished: map[string]string{}, refused: map[string]bool{}}
			m.restart(rt)
			rt.Repeat(map[string]func(*rapid.T){
				"issue":       m.issue,
				"begin":       m.begin,
				"begin2":      m.begin,
				"finish":      m.finish,
				"short pause": func(*rapid.T) { time.Sleep(150 * time.Millisecond) },
				"long pause": func(rt *rapid.T) {
					time.Sleep(time.Duration(rapid.IntRange(1, 3).Draw(rt, "seconds")) * time.Second)
				},
				"restart": func(rt *rapid.T) {
					if rapid.IntRange(0, 9).Draw(rt, "chance") == 0 {
						m.restart(rt)
					}
				},
				"": func(rt *rapid.T) {
					if m.issuer.Entries() > 4+len(m.running) {
						rt.Fatal("the table exceeds its limit")
					}
				},
			})
		})
	})
}

// inBubble runs f in a synctest bubble, with a fake clock, and propagates its
// panics, by which rapid ends a test case.
func inBubble(t *testing.T, f func()) {
	var failure any
	synctest.Test(t, func(*testing.T) {
		defer func() { failure = recover() }()
		f()
	})
	if failure != nil {
		panic(failure)
	}
}

// Guards against panics on malicious tickets and against accepting a string that
// the issuer did not issue.
func FuzzTicket(f *testing.F) {
	i := NewIssuer("vm-1", 1, Config{Key: testKey, TTL: time.Hour})
	good, _ := i.Issue()
	for _, seed := range []string{"", "x", good, good + "=", good[1:], strings.Repeat("AQ", 100)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		_, _, originErr := Origin(s)
		if _, _, err := i.Begin(s); err != nil {
			return
		}
		// Fuzz workers are separate processes, so an accepted ticket may have been
		// issued by another process with the same key.
		c, _, _, _ := decode(s)
		if originErr != nil || c.encode(testKey) != s {
			t.Fatalf("accepted %q, which is not a valid encoding: %v", s, originErr)
		}
	})
}
