package rollout

import (
	"context"
	"sync"
	"time"

	"github.com/briarstand/briarstand/membership"
)

// ConfigState implements membership.Delegate. Freshness is read before the
// configuration, so the reported configuration is at least as new as the one in
// force when the VM was fresh.
func (c *Controller) ConfigState() membership.ConfigState {
	fresh := c.freshness.fresh()
	complete := c.inventory.completeIndex()
	snap, digest := c.inventory.digest()
	return membership.ConfigState{Index: snap.Index, CompleteIndex: complete, Digest: digest, Fresh: fresh}
}

// Replied implements membership.Delegate. It extends this VM's freshness if the
// peer is fresh and has the same configuration, and queues a pull from the peer if
// the configurations differ.
func (c *Controller) Replied(peer membership.Member, state membership.ConfigState, sent time.Time) {
	c.freshness.recordContact(sent)
	if _, digest := c.inventory.digest(); digest != state.Digest {
		c.schedulePull(peer)
		return
	}
	c.inventory.completeTo(state.CompleteIndex)
	if state.Fresh && c.freshness.loaded() {
		c.freshness.grant(sent)
	}
}

// Probed implements membership.Delegate. It queues a pull from a peer that has a
// higher revision in force.
func (c *Controller) Probed(peer membership.Member, state membership.ConfigState) {
	if snap, digest := c.inventory.digest(); digest != state.Digest && state.Index > snap.Index {
		c.schedulePull(peer)
	}
}

// schedulePull queues a pull of the missing documents from a peer. It does
// nothing if one is already queued or running, or if the queue is full; the next
// probe tries again.
func (c *Controller) schedulePull(peer membership.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pulling[peer.ID] {
		return
	}
	select {
	case c.pulls <- peer:
		c.pulling[peer.ID] = true
	default:
	}
}

func (c *Controller) runPulls(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case peer := <-c.pulls:
			if _, err := c.pull(ctx, peer.PeerAddress, peer.ID); err != nil {
				c.cfg.Logger.Debug("documents not read from peer", "vm", peer.ID, "error", err)
			}
			c.mu.Lock()
			delete(c.pulling, peer.ID)
			c.mu.Unlock()
		}
	}
}

// pull reads the missing documents from a peer and applies them. Afterwards this
// VM has every revision that the peer had, so it is as fresh as the peer.
func (c *Controller) pull(ctx context.Context, address, id string) (*PullReply, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	since := c.inventory.completeIndex()
	snap, _ := c.inventory.digest()
	sent := time.Now()
	reply, err := c.cfg.Transport.Pull(ctx, address, &PullRequest{From: c.self, Since: since, Have: revisionsSince(snap, since)})
	if err != nil {
		return nil, err
	}
	if id != "" && reply.From.ID != id {
		return nil, &MessageError{"sender", "is " + reply.From.ID + ", not " + id}
	}
	if err := c.applyDocuments(reply.Documents); err != nil {
		return nil, err
	}
	for name, revision := range reply.Accepted {
		c.recordAccepted(name, revision)
	}
	c.freshness.recordContact(sent)
	c.inventory.completeTo(reply.Config.CompleteIndex)
	if reply.Config.Fresh {
		c.freshness.grant(sent)
	}
	return reply, nil
}

func (c *Controller) applyDocuments(documents [][]byte) error {
	for _, d := range documents {
		svc, err := decodeDocument(d)
		if err != nil {
			return err
		}
		c.cfg.Registry.Apply(svc)
	}
	return nil
}

// HandlePull returns the documents that a peer lacks. The peer must be a known
// member, so that rollouts require the confirmation of every VM that reads from
// this one. For any other peer, it fails with a *membership.UnknownMemberError or a
// *membership.SupersededError.
func (c *Controller) HandlePull(req *PullRequest) (*PullReply, error) {
	if err := c.cfg.Membership.RecordMessage(req.From.ID, req.From.Incarnation); err != nil {
		return nil, err
	}
	state := c.ConfigState()
	reply := &PullReply{From: c.self, Config: state, Accepted: map[string]int64{}}
	snap := c.cfg.Registry.Snapshot()
	for _, svc := range snap.Since(req.Since) {
		if svc.Revision <= req.Have[svc.Name] {
			continue
		}
		d, err := encodeDocument(svc)
		if err != nil {
			return nil, err
		}
		reply.Documents = append(reply.Documents, d)
		if a := c.acceptedRevision(svc.Name); a > 0 {
			reply.Accepted[svc.Name] = a
		}
	}
	return reply, nil
}

func (c *Controller) acceptedRevision(service string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.tasks[service]; t != nil {
		return t.accepted
	}
	return 0
}

// HandlePush puts a document in force, pushes it to the slice of the tree below
// this VM and returns the collected confirmations. It fails with a *MessageError
// if the request is malformed.
func (c *Controller) HandlePush(ctx context.Context, req *PushRequest) (*PushReply, error) {
	if err := req.Validate(); err != nil {
		return nil, err
	}
	if len(req.Document) > 0 {
		svc, err := decodeDocument(req.Document)
		if err != nil {
			return nil, err
		}
		if svc.Name != req.Service {
			return nil, &MessageError{"document", "is of another service"}
		}
		c.cfg.Registry.Apply(svc)
	}
	_ = c.cfg.Membership.RecordMessage(req.From.ID, req.From.Incarnation) // an unknown sender becomes known by its probes
	c.recordPush(req)
	budget := min(time.Duration(req.BudgetMS)*time.Millisecond, c.cfg.RoundTimeout)
	col := newCollector()
	c.pushDown(ctx, req, req.Slice, budget, col)
	col.addOwn(c, req.Service)
	return col.mergedReply(req.KnownDigest), nil
}

// recordPush records a push and the coordinator that drives it.
func (c *Controller) recordPush(req *PushRequest) {
	if req.Accepted > 0 {
		c.recordAccepted(req.Service, req.Accepted)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.task(req.Service); req.Revision >= t.revision {
		t.lastPush, t.coordinator = time.Now(), req.Coordinator
	}
}

// collector merges the replies to the pushes of a round.
type collector struct {
	mu        sync.Mutex
	confirmed confirmations
	known     map[string]KnownVM
}

func newCollector() *collector {
	return &collector{confirmed: confirmations{}, known: map[string]KnownVM{}}
}

func (col *collector) add(reply *PushReply) {
	col.mu.Lock()
	defer col.mu.Unlock()
	col.confirmed.add(reply.Confirmed...)
	mergeKnown(col.known, reply.Known...)
}

// addOwn adds the confirmation of this VM and the VMs that it knows. The member
// table is read after the configuration, so that it contains every VM that
// pulled an older configuration from this one.
func (col *collector) addOwn(c *Controller, service string) {
	revision := c.cfg.Registry.Snapshot().Revision(service)
	now := time.Now()
	known := knownVMs(c.cfg.Membership.Self(), c.cfg.Membership.Contacts(), now, c.cfg.FreshnessWindow)
	col.add(&PushReply{
		Confirmed: []Confirmation{{c.self.ID, c.self.Incarnation, revision}},
		Known:     known,
	})
}

// mergedReply returns the collected confirmations and known VMs. The known VMs
// are omitted when their digest equals the coordinator's.
func (col *collector) mergedReply(coordinatorDigest uint64) *PushReply {
	col.mu.Lock()
	defer col.mu.Unlock()
	reply := &PushReply{}
	for _, n := range col.confirmed {
		reply.Confirmed = append(reply.Confirmed, n)
	}
	for _, k := range col.known {
		reply.Known = append(reply.Known, k)
	}
	if knownDigest(reply.Known) == coordinatorDigest {
		reply.Known = nil
	}
	return reply
}
