package config_test

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/briarstand/briarstand/config"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/kvstore"
)

// TestMain fixes the seed of the property tests; a -rapid.seed flag overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

func validService() *config.Service {
	return &config.Service{
		Name: "tickets",
		Backends: []config.Backend{
			{ID: "b1", Address: "10.0.0.1:9000", Zone: "z1", Region: "r1", Slots: 2, MaxConnections: 55},
			{ID: "b2", Address: "[2001:db8::2]:9000", Zone: "z2", Slots: 2, MaxConnections: 55, Draining: true},
		},
		Versions: []config.IndexVersion{
			{Name: "v1", Sequence: 1, Shards: [][]string{{"b1", "b2"}, {"b2"}}},
			{Name: "v2", Sequence: 2, Shards: [][]string{{"b1"}}},
		},
		Policy: config.DefaultPolicy(),
	}
}

// TestValidate checks that each value that is not allowed is reported under the
// name of its field.
func TestValidate(t *testing.T) {
	qt.Assert(t, config.Validate(validService()), qt.IsNil)
	for field, invalidate := range map[string]func(*config.Service){
		"name": func(s *config.Service) { s.Name = "a/b" },
		// Shards still list the old id of a renamed backend server.
		"backends[0].id index_versions[0].shards[0] index_versions[1].shards[0]": func(s *config.Service) { s.Backends[0].ID = "" },
		"backends[1].id index_versions[0].shards[0] index_versions[0].shards[1]": func(s *config.Service) { s.Backends[1].ID = "b1" },
		"backends[0].address":                    func(s *config.Service) { s.Backends[0].Address = "host:9000" },
		"backends[1].address":                    func(s *config.Service) { s.Backends[1].Address = "10.0.0.1:0" },
		"backends[0].zone":                       func(s *config.Service) { s.Backends[0].Zone = "" },
		"backends[0].region":                     func(s *config.Service) { s.Backends[0].Region = "-" },
		"backends[0].slots":                      func(s *config.Service) { s.Backends[0].Slots = 0 },
		"backends[0].max_connections":            func(s *config.Service) { s.Backends[0].MaxConnections = -1 },
		"index_versions[0].name":                 func(s *config.Service) { s.Versions[0].Name = " " },
		"index_versions[1].name":                 func(s *config.Service) { s.Versions[1].Name = "v1" },
		"index_versions[1].sequence":             func(s *config.Service) { s.Versions[1].Sequence = 1 },
		"index_versions[0].sequence":             func(s *config.Service) { s.Versions[0].Sequence = 0 },
		"index_versions[0].shards":               func(s *config.Service) { s.Versions[0].Shards = nil },
		"index_versions[0].shards[1]":            func(s *config.Service) { s.Versions[0].Shards[1] = nil },
		"index_versions[1].shards[0]":            func(s *config.Service) { s.Versions[1].Shards[0] = []string{"b3"} },
		"index_versions[0].shards[0]":            func(s *config.Service) { s.Versions[0].Shards[0] = []string{"b1", "b1"} },
		"policy.deadline_ms":                     func(s *config.Service) { s.Policy.DeadlineMS = 0 },
		"policy.max_concurrent":                  func(s *config.Service) { s.Policy.MaxConcurrent = 0 },
		"policy.max_queued":                      func(s *config.Service) { s.Policy.MaxQueued = -1 },
		"policy.extra_load_permille":             func(s *config.Service) { s.Policy.ExtraLoadPermille = 1001 },
		"policy.hedge_permille":                  func(s *config.Service) { s.Policy.HedgePermille = 1000 },
		"policy.min_coverage_permille":           func(s *config.Service) { s.Policy.MinCoveragePermille = -1 },
		"policy.default_limit":                   func(s *config.Service) { s.Policy.DefaultLimit = 0 },
		"policy.priority":                        func(s *config.Service) { s.Policy.Priority = 4 },
		"policy.preference":                      func(s *config.Service) { s.Policy.Preference = "" },
		"policy.replica_choice":                  func(s *config.Service) { s.Policy.ReplicaChoice = "best" },
		"backends[0].slots policy.default_limit": func(s *config.Service) { s.Backends[0].Slots, s.Policy.DefaultLimit = -1, -1 },
	} {
		s := validService()
		invalidate(s)
		var invalid *config.ValidationError
		qt.Check(t, errors.As(config.Validate(s), &invalid), qt.IsTrue, qt.Commentf(field))
		var got []string
		for _, f := range invalid.Fields {
			got = append(got, f.Field)
		}
		qt.Check(t, strings.Join(got, " "), qt.Equals, field)
		qt.Check(t, error(invalid), qt.ErrorAs, new(*config.FieldError))
	}
}

// TestProtoRoundTrip checks that the conversion to and from a protobuf message keeps
// every field and sets the right defaults.
func TestProtoRoundTrip(t *testing.T) {
	c := qt.New(t)
	want := validService()
	want.Revision, want.ChangeID = 7, "c1"
	got, err := config.FromProto(config.ToProto(want))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, want)
	message := config.ToProto(want)
	message.Spec.Policy = nil
	got, err = config.FromProto(message)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Policy, qt.Equals, config.DefaultPolicy())
	message.Spec.Policy = &briarstandv1.Policy{DeadlineMs: 100, MaxConcurrent: 1, DefaultLimit: 1}
	got, err = config.FromProto(message)
	c.Assert(err, qt.IsNil)
	c.Assert(got.Policy, qt.Equals, config.Policy{
		DeadlineMS: 100, MaxConcurrent: 1, DefaultLimit: 1,
		Preference: config.PreferLatency, Priority: config.PriorityNormal, ReplicaChoice: config.ChoiceAdaptive,
	})
	message.Spec.Policy.Preference = 99
	_, err = config.FromProto(message)
	c.Assert(err, qt.ErrorAs, new(*config.FieldError))
	_, err = config.FromProto(&briarstandv1.Service{Name: "x", Spec: &briarstandv1.ServiceSpec{Backends: []*briarstandv1.Backend{nil}}})
	c.Assert(err, qt.ErrorAs, new(*config.FieldError))
}

// drawService draws a valid service from a small set of backend servers and
// index versions, so that two drawn services have some in common.
func drawService(t *rapid.T, label string) *config.Service {
	s := &config.Service{Name: "tickets", Policy: config.DefaultPolicy()}
	if rapid.IntRange(0, 9).Draw(t, label+" deleted") == 0 {
		return &config.Service{Name: "tickets", Deleted: true}
	}
	s.Policy.DeadlineMS = int64(rapid.IntRange(1, 2).Draw(t, label+" deadline"))
	s.Policy.HedgePermille = rapid.IntRange(0, 1).Draw(t, label+" hedge")
	for i := range 3 {
		if kind := rapid.IntRange(0, 3).Draw(t, label+" backend"); kind > 0 {
			s.Backends = append(s.Backends, config.Backend{
				ID: fmt.Sprintf("b%d", i), Address: "10.0.0.1:1", Zone: "z", Region: strings.Repeat("r", kind-1),
				Slots: 1, MaxConnections: kind, Draining: kind == 2,
			})
		}
	}
	for i := range 3 {
		kind := rapid.IntRange(0, 2).Draw(t, label+" version")
		if kind == 0 || len(s.Backends) == 0 {
			continue
		}
		v := config.IndexVersion{Name: fmt.Sprintf("v%d", i), Sequence: int64(i + 1)}
		for range kind {
			v.Shards = append(v.Shards, []string{s.Backends[i%len(s.Backends)].ID})
		}
		s.Versions = append(s.Versions, v)
	}
	return s
}

// TestRewind checks that undoing a change by its audit record restores exactly the
// state before it. This fails if the record lacks a changed field.
func TestRewind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := drawService(t, "before"), drawService(t, "after")
		b, a, err := config.Diff(before, after)
		if err != nil {
			t.Fatal(err)
		}
		// A record must be unchanged by a round trip through JSON.
		data, err := json.Marshal(config.AuditRecord{ChangeID: "c", Base: 3, Before: b, After: a})
		if err != nil {
			t.Fatal(err)
		}
		var record config.AuditRecord
		if err := json.Unmarshal(data, &record); err != nil || record.Before != b || record.After != a {
			t.Fatalf("record changed by the round trip: %v: %s", err, data)
		}
		got, err := config.Rewind(after, record)
		if err != nil {
			t.Fatal(err)
		}
		before.Revision = 3
		gotText, _ := json.Marshal(got)
		wantText, _ := json.Marshal(before)
		if string(gotText) != string(wantText) {
			t.Fatalf("got %s, want %s", gotText, wantText)
		}
	})
}

func encodedDocument(t testing.TB) []byte {
	s := validService()
	s.ChangeID = "c2"
	s.Audit = []config.AuditRecord{
		{ChangeID: "c1", Revision: 4, Operator: "asha", Action: "create", After: `{"deleted":false}`},
		{ChangeID: "c2", Revision: 9, Base: 4, Operator: "asha", Action: "update", Before: "text"},
	}
	data, err := config.Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestDecode checks that a corrupt document is refused and does not hide the other
// documents of a listing.
func TestDecode(t *testing.T) {
	c := qt.New(t)
	key := config.ServiceKey("tickets")
	text := string(encodedDocument(t))
	svc, err := config.Decode(kvstore.Entry{Key: key, Value: []byte(text), Index: 9})
	c.Assert(err, qt.IsNil)
	c.Assert(svc.Revision, qt.Equals, int64(9))
	c.Assert(svc.Audit[1].Revision, qt.Equals, int64(9))
	c.Assert(svc.Audit[1].Before, qt.Equals, "text")
	listing := kvstore.Listing{Entries: []kvstore.Entry{{Key: key, Value: []byte(text), Index: 9}}}
	for _, bad := range []string{
		"", "null", "{}", "[]", text + "x", text[:len(text)-1],
		strings.Replace(text, `"name":"tickets"`, `"name":"other"`, 1),
		strings.Replace(text, `"name":"tickets"`, `"name":"tickets","revision":9`, 1),
		strings.Replace(text, `"name":"tickets"`, `"name":"tickets","unknown":1`, 1),
		strings.Replace(text, `"operator"`, `"unknown"`, 1),
		strings.Replace(text, `"slots":2`, `"slots":0`, 1),
		strings.Replace(text, `"revision":4`, `"revision":9`, 1),
		strings.Replace(text, `"change_id":"c2"`, `"change_id":"c3"`, 1),
		strings.Replace(text, `"policy"`, `"deleted":true,"policy"`, 1),
	} {
		entry := kvstore.Entry{Key: key, Value: []byte(bad), Index: 9}
		_, err := config.Decode(entry)
		c.Check(err, qt.ErrorAs, new(*config.DocumentError), qt.Commentf(bad))
		listing.Entries = append(listing.Entries, entry)
	}
	services, corrupt := config.DecodeListing(listing)
	c.Assert(services, qt.HasLen, 1)
	c.Assert(corrupt, qt.HasLen, len(listing.Entries)-1)
	large := validService()
	large.Audit = []config.AuditRecord{{Reason: strings.Repeat("x", config.MaxDocumentBytes)}}
	_, err = config.Encode(large)
	c.Assert(err, qt.ErrorAs, new(*config.FieldError))
}

// FuzzDecode checks that decoding a corrupt document does not panic, and that a
// document does not change when it is decoded and encoded again.
func FuzzDecode(f *testing.F) {
	f.Add(encodedDocument(f), int64(9))
	f.Add([]byte(`{"name":"tickets","change_id":"c","deleted":true,"policy":{}}`), int64(1))
	f.Add([]byte(`{"name":"tickets","audit":[{"change_id":"","before":"x"}]}`), int64(1))
	f.Add([]byte(`{"service":"tickets","records":[{"change_id":"c","revision":3}]}`), int64(3))
	f.Fuzz(func(t *testing.T, data []byte, index int64) {
		_, _ = config.DecodeChunk(kvstore.Entry{Key: config.AuditKey("tickets", index), Value: data, Index: index})
		key := config.ServiceKey("tickets")
		svc, err := config.Decode(kvstore.Entry{Key: key, Value: data, Index: index})
		if err != nil {
			if !errors.As(err, new(*config.DocumentError)) {
				t.Fatalf("error is not a *DocumentError: %v", err)
			}
			return
		}
		again, err := config.Encode(svc)
		if errors.As(err, new(*config.FieldError)) {
			return // JSON escaping can make it exceed the size limit, which the input met
		}
		if err != nil {
			t.Fatal(err)
		}
		svc2, err := config.Decode(kvstore.Entry{Key: key, Value: again, Index: index})
		if err != nil {
			t.Fatalf("encoded document cannot be decoded: %v\n%s", err, again)
		}
		a, _ := json.Marshal(svc)
		b, _ := json.Marshal(svc2)
		if string(a) != string(b) {
			t.Fatalf("document changed:\n%s\n%s", a, b)
		}
		if !svc.Deleted && !proto.Equal(config.ToProto(svc), config.ToProto(svc2)) {
			t.Fatal("protobuf message changed")
		}
	})
}
