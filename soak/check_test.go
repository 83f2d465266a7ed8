package soak

import (
	"errors"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/briarstand/briarstand/standin"
)

func at(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }

// sixteen returns a record of 16 bytes, the size that topk merges.
func sixteen(b byte) []byte { return slices.Repeat([]byte{b}, 16) }

// Guards against checks that never fail: each gets input that violates it.
func TestChecksFire(t *testing.T) {
	servers := []server{
		{"a1", "a", sixteen('a'), func(id string) string { return "a1-" + id }},
		{"b1", "b", sixteen('b'), func(id string) string { return "b1-" + id }},
		{"b2", "b", sixteen('b'), func(id string) string { return "b2-" + id }},
	}
	single := func(s standin.Seen) request { return request{ID: "1", Service: "a", Seen: s} }
	query := func(s standin.Seen) request {
		s.Status = 200
		return request{ID: "1", Shards: []string{"a", "b"}, Limit: 2, MinShards: 1, Seen: s}
	}
	both := slices.Concat(sixteen('b'), sixteen('a'))
	for name, test := range map[string]struct {
		request request
		check   string
	}{
		"fine":             {single(standin.Seen{Status: 200, Signature: "a1-1", Body: sixteen('a'), RequestID: "1"}), ""},
		"other request":    {single(standin.Seen{Status: 200, Signature: "a1-2", Body: sixteen('a')}), "own answer"},
		"other id":         {single(standin.Seen{Status: 502, RequestID: "2"}), "own answer"},
		"other service":    {single(standin.Seen{Status: 200, Signature: "b1-1", Body: sixteen('b')}), "own answer"},
		"cut":              {single(standin.Seen{Status: 200, Signature: "a1-1", Body: sixteen('a')[:8]}), "whole answer"},
		"refused":          {single(standin.Seen{Status: 503}), "refusal"},
		"query":            {query(standin.Seen{Signatures: []string{"a1-1", "b1-1"}, Body: both}), ""},
		"partial":          {query(standin.Seen{Signatures: []string{"a1-1"}, Missing: 1, Body: sixteen('a')}), ""},
		"untrue coverage":  {query(standin.Seen{Signatures: []string{"a1-1"}, Body: sixteen('a')}), "coverage"},
		"too few":          {query(standin.Seen{Missing: 2}), "coverage"},
		"twice":            {query(standin.Seen{Signatures: []string{"b1-1", "b2-1"}, Body: slices.Concat(sixteen('b'), sixteen('b'))}), "coverage"},
		"foreign part":     {query(standin.Seen{Signatures: []string{"a1-1", "b1-7"}, Body: both}), "own answer"},
		"records not best": {query(standin.Seen{Signatures: []string{"a1-1", "b1-1"}, Body: sixteen('a')}), "whole answer"},
	} {
		found := checkAnswer(test.request, servers)
		if test.check == "" {
			qt.Check(t, found, qt.HasLen, 0, qt.Commentf("%s: %v", name, found))
			continue
		}
		qt.Check(t, slices.ContainsFunc(found, func(v Violation) bool { return v.Check == test.check }), qt.IsTrue, qt.Commentf("%s: %v", name, found))
	}

	ran := func(id, backend string, s float64) run {
		return run{Run: standin.Run{ID: id, At: at(s)}, Backend: backend, Service: "a"}
	}
	booking := request{ID: "1", Service: "a", Booking: true, Seen: standin.Seen{Status: 200}, Start: at(1), VM: "vm"}
	qt.Check(t, checkBookings([]request{booking}, []run{ran("1", "a1", 1)}), qt.HasLen, 0)
	qt.Check(t, checkBookings([]request{booking}, []run{ran("1", "a1", 1), ran("1", "a2", 2)}), qt.HasLen, 1)
	booking.Seen.Status = 503
	qt.Check(t, checkBookings([]request{booking}, []run{ran("1", "a1", 1)}), qt.HasLen, 1)

	b := budget{ratio: 0.2, slack: 2, window: 10 * time.Second}
	runs := []run{ran("1", "a1", 1), ran("1", "a2", 2), ran("1", "a3", 3)}
	qt.Check(t, checkBudget([]request{booking}, runs, b), qt.HasLen, 0)
	runs = append(runs, ran("1", "a4", 9))
	qt.Check(t, checkBudget([]request{booking}, runs, b), qt.HasLen, 1)

	qt.Check(t, checkDrains(runs, []drained{{"a4", at(9.5)}}), qt.HasLen, 0)
	qt.Check(t, checkDrains(runs, []drained{{"a4", at(8.5)}}), qt.HasLen, 1)

	booking.Err, booking.End = errors.New("EOF"), at(3)
	v := &vm{settings: standin.VMSettings{ID: "vm"}}
	qt.Check(t, checkStops([]request{booking}, runs, []stopped{{v, at(0), at(2)}}), qt.HasLen, 1)
	qt.Check(t, checkStops([]request{booking}, runs, []stopped{{v, at(2), at(4)}}), qt.HasLen, 0)
	qt.Check(t, checkStops([]request{booking}, nil, []stopped{{v, at(0), at(2)}}), qt.HasLen, 0)
	v.faults = []time.Time{at(2)}
	qt.Check(t, checkStops([]request{booking}, runs, []stopped{{v, at(0), at(2)}}), qt.HasLen, 0)
}
