package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
)

// fieldValues maps the JSON name of a field to its value.
type fieldValues map[string]json.RawMessage

// backendFields is Backend without omitempty in its JSON tags, so that an audit
// record contains fields that become empty.
type backendFields struct {
	ID             string `json:"id"`
	Address        string `json:"address"`
	Zone           string `json:"zone"`
	Region         string `json:"region"`
	Slots          int    `json:"slots"`
	MaxConnections int    `json:"max_connections"`
	Draining       bool   `json:"draining"`
}

// changedFields holds the values of the changed fields on one side of a change,
// before or after. A backend server or an index version that does not exist on
// that side is absent.
type changedFields struct {
	Deleted  *bool                   `json:"deleted,omitempty"`
	Backends map[string]fieldValues  `json:"backends,omitempty"`
	Versions map[string]IndexVersion `json:"index_versions,omitempty"`
	Policy   fieldValues             `json:"policy,omitempty"`
}

// Diff returns, as JSON, the old and the new values of the fields that differ
// between two states of a service. A nil before means that the service never
// existed; the old values are then empty. Backend servers are compared field by
// field, index versions as a whole.
func Diff(before, after *Service) (string, string, error) {
	old := before
	if old == nil {
		old = &Service{Deleted: true}
	}
	var b, a changedFields
	if old.Deleted != after.Deleted {
		b.Deleted, a.Deleted = &old.Deleted, &after.Deleted
	}
	var err error
	if b.Policy, a.Policy, err = diffValues(old.Policy, after.Policy); err != nil {
		return "", "", err
	}
	if b.Backends, a.Backends, err = diffBackends(old.Backends, after.Backends); err != nil {
		return "", "", err
	}
	b.Versions, a.Versions = diffVersions(old.Versions, after.Versions)
	afterText, err := json.Marshal(a)
	if err != nil || before == nil {
		return "", string(afterText), err
	}
	beforeText, err := json.Marshal(b)
	return string(beforeText), string(afterText), err
}

// fieldValuesOf returns the fields of the JSON encoding of v.
func fieldValuesOf(v any) (fieldValues, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	values := fieldValues{}
	return values, json.Unmarshal(data, &values)
}

// diffValues returns the fields that differ between two values. The JSON of the
// type must contain every field, also the empty ones.
func diffValues[T any](before, after T) (fieldValues, fieldValues, error) {
	b, err := fieldValuesOf(before)
	if err != nil {
		return nil, nil, err
	}
	a, err := fieldValuesOf(after)
	if err != nil {
		return nil, nil, err
	}
	for name, value := range b {
		if bytes.Equal(value, a[name]) {
			delete(b, name)
			delete(a, name)
		}
	}
	return b, a, nil
}

func diffBackends(before, after []Backend) (map[string]fieldValues, map[string]fieldValues, error) {
	old := make(map[string]Backend, len(before))
	for _, b := range before {
		old[b.ID] = b
	}
	oldFields, newFields := map[string]fieldValues{}, map[string]fieldValues{}
	var err error
	for _, b := range after {
		previous, existed := old[b.ID]
		delete(old, b.ID)
		switch {
		case !existed:
			newFields[b.ID], err = fieldValuesOf(backendFields(b))
		case previous != b:
			oldFields[b.ID], newFields[b.ID], err = diffValues(backendFields(previous), backendFields(b))
		}
		if err != nil {
			return nil, nil, err
		}
	}
	for id, b := range old {
		if oldFields[id], err = fieldValuesOf(backendFields(b)); err != nil {
			return nil, nil, err
		}
	}
	return oldFields, newFields, nil
}

func diffVersions(before, after []IndexVersion) (map[string]IndexVersion, map[string]IndexVersion) {
	removed, added := map[string]IndexVersion{}, map[string]IndexVersion{}
	for _, v := range before {
		removed[v.Name] = v
	}
	for _, v := range after {
		if previous, existed := removed[v.Name]; existed && reflect.DeepEqual(previous, v) {
			delete(removed, v.Name)
			continue
		}
		added[v.Name] = v
	}
	return removed, added
}

// Rewind returns the state of a service before a change. s is the normalized state
// after the change, and r is the audit record of the change. The result has the
// revision that the change was based on, but no audit trail and no change id.
func Rewind(s *Service, r AuditRecord) (*Service, error) {
	var before, after changedFields
	if err := unmarshalFields(r.Before, &before); err != nil {
		return nil, fmt.Errorf("audit record of revision %d: before: %w", r.Revision, err)
	}
	if err := unmarshalFields(r.After, &after); err != nil {
		return nil, fmt.Errorf("audit record of revision %d: after: %w", r.Revision, err)
	}
	old := &Service{Name: s.Name, Revision: r.Base, Deleted: s.Deleted, Policy: s.Policy}
	if before.Deleted != nil {
		old.Deleted = *before.Deleted
	}
	if err := overlay(&old.Policy, before.Policy); err != nil {
		return nil, err
	}
	var err error
	if old.Backends, err = rewindBackends(s.Backends, before.Backends, after.Backends); err != nil {
		return nil, err
	}
	old.Versions = rewindVersions(s.Versions, before.Versions, after.Versions)
	if old.Deleted {
		return old, nil
	}
	return Normalize(old), nil
}

func unmarshalFields(text string, target *changedFields) error {
	if text == "" {
		return nil
	}
	return decodeStrict([]byte(text), target)
}

// overlay sets those fields of target that values contains, and keeps the others.
func overlay(target any, values fieldValues) error {
	if len(values) == 0 {
		return nil
	}
	data, err := json.Marshal(values)
	if err != nil {
		return err
	}
	return decodeStrict(data, target)
}

func rewindBackends(current []Backend, before, after map[string]fieldValues) ([]Backend, error) {
	var old []Backend
	for _, b := range current {
		values, existed := before[b.ID]
		if _, changed := after[b.ID]; changed && !existed {
			continue
		}
		if err := overlay(&b, values); err != nil {
			return nil, err
		}
		old = append(old, b)
	}
	for id, values := range before {
		if _, kept := after[id]; kept {
			continue
		}
		var b Backend
		if err := overlay(&b, values); err != nil {
			return nil, err
		}
		old = append(old, b)
	}
	return old, nil
}

func rewindVersions(current []IndexVersion, before, after map[string]IndexVersion) []IndexVersion {
	var old []IndexVersion
	for _, v := range current {
		if _, changed := after[v.Name]; !changed {
			old = append(old, v)
		}
	}
	for _, v := range before {
		old = append(old, v)
	}
	return old
}
