package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/briarstand/briarstand/config"
	"github.com/briarstand/briarstand/kvstore"
)

// Mark is the value of an accepted mark: the highest accepted revision of a
// service, kept in the store.
type Mark struct {
	Revision int64 `json:"revision"`
}

// DecodeMark decodes an accepted mark. It fails with a *DecodeError.
func DecodeMark(e kvstore.Entry) (Mark, error) {
	var m Mark
	if err := json.Unmarshal(e.Value, &m); err != nil {
		return Mark{}, &DecodeError{e.Key, err}
	}
	if m.Revision <= 0 {
		return Mark{}, &DecodeError{e.Key, &MessageError{"revision", "must be positive"}}
	}
	return m, nil
}

// claimUnmarked returns the tasks whose revision this VM found accepted and whose
// mark is not written yet, and flags them as being marked.
func (c *Controller) claimUnmarked() []*task {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*task
	for _, t := range c.tasks {
		if t.decided > t.marked && !t.marking {
			t.marking = true
			out = append(out, t)
		}
	}
	return out
}

// persistMark writes the accepted mark of a service and retries until the store
// holds it or a newer one.
func (c *Controller) persistMark(ctx context.Context, t *task) {
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		t.marking = false
	}()
	backoff := minBackoff
	for {
		revision := c.acceptedRevision(t.service)
		err := c.writeMark(ctx, t.service, revision)
		if err == nil {
			c.mu.Lock()
			t.marked = max(t.marked, revision)
			c.mu.Unlock()
			return
		}
		c.cfg.Logger.Debug("accepted mark not written", "service", t.service, "revision", revision, "error", err)
		if !sleep(ctx, c.jitter(2*backoff)) {
			return
		}
		backoff = min(2*backoff, maxStoreBackoff)
	}
}

// writeMark creates or raises the mark of a service. A mark never decreases: if
// another VM writes it first, this fails and the retry reads the mark again.
func (c *Controller) writeMark(ctx context.Context, service string, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := config.AcceptedPrefix + service
	entry, err := c.cfg.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, kvstore.ErrNotFound) {
		return fmt.Errorf("read mark of %s: %w", service, err)
	}
	if err == nil {
		if m, err := DecodeMark(entry); err == nil && m.Revision >= revision {
			return nil
		}
	}
	value, err := json.Marshal(Mark{Revision: revision})
	if err != nil {
		return fmt.Errorf("encode mark of %s: %w", service, err)
	}
	if _, err := c.cfg.Store.CompareAndSwap(ctx, key, entry.Index, value); err != nil {
		return fmt.Errorf("write mark of %s: %w", service, err)
	}
	return nil
}

// readMark returns the accepted revision of a service in the store; 0 if there is
// no mark.
func (c *Controller) readMark(ctx context.Context, service string) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := c.cfg.Store.Get(ctx, config.AcceptedPrefix+service)
	if errors.Is(err, kvstore.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, fmt.Errorf("read mark of %s: %w", service, err)
	}
	m, err := DecodeMark(entry)
	return m.Revision, err
}

// readMarks reads and records all accepted marks of the store. It returns the
// services whose accepted revision is above the one in force here.
func (c *Controller) readMarks(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	listing, err := c.cfg.Store.List(ctx, config.AcceptedPrefix)
	if err != nil {
		return nil, fmt.Errorf("list accepted marks: %w", err)
	}
	snap := c.cfg.Registry.Snapshot()
	var behind []string
	for _, e := range listing.Entries {
		m, err := DecodeMark(e)
		if err != nil {
			c.cfg.Logger.Warn("accepted mark not readable", "key", e.Key, "error", err)
			continue
		}
		name := strings.TrimPrefix(e.Key, config.AcceptedPrefix)
		c.recordAccepted(name, m.Revision)
		c.setMarked(name, m.Revision)
		if m.Revision > snap.Revision(name) {
			behind = append(behind, name)
		}
	}
	return behind, nil
}

func (c *Controller) setMarked(service string, revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.task(service)
	t.marked = max(t.marked, revision)
}

// fetch reads the document of a service from the store and puts it in force.
func (c *Controller) fetch(ctx context.Context, service string) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := c.cfg.Store.Get(ctx, config.ServicesPrefix+service)
	if err != nil {
		return fmt.Errorf("read document of %s: %w", service, err)
	}
	svc, err := c.cfg.Decode(entry)
	if err != nil {
		return &DecodeError{entry.Key, err}
	}
	c.cfg.Registry.Apply(svc)
	return nil
}

// loadAll reads all documents from the store and puts them in force. If it
// succeeds, this VM has every revision up to the listing's store index, so its
// freshness is extended from the time at which the request was sent.
func (c *Controller) loadAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	sent := time.Now()
	listing, err := c.cfg.Store.List(ctx, config.ServicesPrefix)
	if err != nil {
		return fmt.Errorf("list documents: %w", err)
	}
	if err := c.applyListing(listing); err != nil {
		return err
	}
	c.grantFromStore(sent)
	return nil
}

// applyListing puts the documents of a listing in force, except those that cannot
// be decoded, and returns the last decoding error.
func (c *Controller) applyListing(listing kvstore.Listing) error {
	snap := c.cfg.Registry.Snapshot()
	var services []*config.Service
	var failed error
	for _, e := range listing.Entries {
		if e.Index <= snap.Revision(serviceName(e.Key)) {
			continue
		}
		svc, err := c.cfg.Decode(e)
		if err != nil {
			c.cfg.Logger.Error("document not readable", "key", e.Key, "error", err)
			failed = &DecodeError{e.Key, err}
			continue
		}
		services = append(services, svc)
	}
	c.cfg.Registry.Apply(services...)
	if failed == nil {
		c.inventory.completeTo(listing.Index)
	}
	return failed
}

// grantFromStore extends freshness after a read of the store that was sent at the
// given time. If this VM is not on the platform's list, rollouts require its
// confirmation only because peers have heard from it. Its freshness then counts from
// its last contact with a peer, if that was before the read, and is not extended if
// there was no contact. A VM that knows no other VM needs no contact.
func (c *Controller) grantFromStore(sent time.Time) {
	if c.cfg.VMLister == nil || c.cfg.Membership.SelfListed() || c.cfg.Membership.HasNoOtherVMs() {
		c.freshness.grant(sent)
		return
	}
	if met, ok := c.freshness.lastContact(); ok {
		if met.Before(sent) {
			sent = met
		}
		c.freshness.grant(sent)
	}
}
