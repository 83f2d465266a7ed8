package config

import (
	"fmt"
	"time"

	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
)

var preferenceToProto = map[Preference]briarstandv1.Preference{
	PreferLatency:  briarstandv1.Preference_PREFERENCE_LATENCY,
	PreferCoverage: briarstandv1.Preference_PREFERENCE_COVERAGE,
}

var replicaChoiceToProto = map[ReplicaChoice]briarstandv1.ReplicaChoice{
	ChoiceAdaptive: briarstandv1.ReplicaChoice_REPLICA_CHOICE_ADAPTIVE,
	ChoiceRandom:   briarstandv1.ReplicaChoice_REPLICA_CHOICE_RANDOM,
}

// ToProto returns a service as a protobuf message, without its audit trail.
func ToProto(s *Service) *briarstandv1.Service {
	return &briarstandv1.Service{
		Name: s.Name, Revision: s.Revision, ChangeId: s.ChangeID, Spec: SpecToProto(s),
	}
}

// SpecToProto returns the operator-declared part of a service as a protobuf
// message.
func SpecToProto(s *Service) *briarstandv1.ServiceSpec {
	spec := &briarstandv1.ServiceSpec{Policy: policyToProto(s.Policy)}
	for _, b := range s.Backends {
		spec.Backends = append(spec.Backends, &briarstandv1.Backend{
			Id: b.ID, Address: b.Address, Zone: b.Zone, Region: b.Region,
			Slots: int32(b.Slots), MaxConnections: int32(b.MaxConnections), Draining: b.Draining,
		})
	}
	for _, v := range s.Versions {
		iv := &briarstandv1.IndexVersion{Name: v.Name, Sequence: v.Sequence}
		for _, ids := range v.Shards {
			iv.Shards = append(iv.Shards, &briarstandv1.ShardReplicas{BackendIds: ids})
		}
		spec.IndexVersions = append(spec.IndexVersions, iv)
	}
	return spec
}

func policyToProto(p Policy) *briarstandv1.Policy {
	return &briarstandv1.Policy{
		DeadlineMs:          p.DeadlineMS,
		MaxConcurrent:       int32(p.MaxConcurrent),
		MaxQueued:           int32(p.MaxQueued),
		ExtraLoadPermille:   int32(p.ExtraLoadPermille),
		HedgePermille:       int32(p.HedgePermille),
		Preference:          preferenceToProto[p.Preference],
		MinCoveragePermille: int32(p.MinCoveragePermille),
		DefaultLimit:        int32(p.DefaultLimit),
		Priority:            int32(p.Priority),
		ReplicaChoice:       replicaChoiceToProto[p.ReplicaChoice],
	}
}

// FromProto returns the normalized and validated service of a protobuf message.
// An absent policy becomes DefaultPolicy. It returns a *ValidationError if a
// value is not allowed.
func FromProto(p *briarstandv1.Service) (*Service, error) {
	var v validation
	s := &Service{Name: p.GetName(), Revision: p.GetRevision(), ChangeID: p.GetChangeId()}
	s.Policy = v.policyFromProto(p.GetSpec().GetPolicy())
	for i, b := range p.GetSpec().GetBackends() {
		if b == nil {
			v.reject(fmt.Sprintf("spec.backends[%d]", i), "null", "a backend server")
			continue
		}
		s.Backends = append(s.Backends, Backend{
			ID: b.GetId(), Address: b.GetAddress(), Zone: b.GetZone(), Region: b.GetRegion(),
			Slots: int(b.GetSlots()), MaxConnections: int(b.GetMaxConnections()), Draining: b.GetDraining(),
		})
	}
	for _, iv := range p.GetSpec().GetIndexVersions() {
		version := IndexVersion{Name: iv.GetName(), Sequence: iv.GetSequence()}
		for _, shard := range iv.GetShards() {
			version.Shards = append(version.Shards, shard.GetBackendIds())
		}
		s.Versions = append(s.Versions, version)
	}
	if err := v.err(s.Name); err != nil {
		return nil, err
	}
	// Validation precedes Normalize, which sorts the lists, so that errors
	// contain the list indexes of the message.
	s.Policy = withDefaults(s.Policy)
	if err := Validate(s); err != nil {
		return nil, err
	}
	return Normalize(s), nil
}

func (v *validation) policyFromProto(p *briarstandv1.Policy) Policy {
	if p == nil {
		return DefaultPolicy()
	}
	return Policy{
		DeadlineMS:          p.GetDeadlineMs(),
		MaxConcurrent:       int(p.GetMaxConcurrent()),
		MaxQueued:           int(p.GetMaxQueued()),
		ExtraLoadPermille:   int(p.GetExtraLoadPermille()),
		HedgePermille:       int(p.GetHedgePermille()),
		Preference:          fromEnum(v, "policy.preference", p.GetPreference(), preferenceToProto),
		MinCoveragePermille: int(p.GetMinCoveragePermille()),
		DefaultLimit:        int(p.GetDefaultLimit()),
		Priority:            Priority(p.GetPriority()),
		ReplicaChoice:       fromEnum(v, "policy.replica_choice", p.GetReplicaChoice(), replicaChoiceToProto),
	}
}

// fromEnum returns the value that toProto maps to the enum number. Number 0
// gives the empty value, which means the default.
func fromEnum[V ~string, E interface {
	~int32
	fmt.Stringer
}](v *validation, field string, number E, toProto map[V]E) V {
	if number == 0 {
		return ""
	}
	for value, n := range toProto {
		if n == number {
			return value
		}
	}
	v.reject(field, number.String(), "a value of the schema")
	return ""
}

// AuditToProto returns an audit record as a protobuf message.
func AuditToProto(r AuditRecord) *briarstandv1.AuditRecord {
	return &briarstandv1.AuditRecord{
		ChangeId: r.ChangeID, Revision: r.Revision, Time: r.Time.UTC().Format(time.RFC3339Nano),
		Operator: r.Operator, Action: r.Action, Reason: r.Reason, Before: r.Before, After: r.After,
	}
}
