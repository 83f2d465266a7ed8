package server

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"connectrpc.com/connect"

	"github.com/briarstand/briarstand/config"
	briarstandv1 "github.com/briarstand/briarstand/gen/briarstand/v1"
	"github.com/briarstand/briarstand/membership"
	"github.com/briarstand/briarstand/rollout"
)

// rollouts implements operatorapi.Rollouts with the rollout controller.
type rollouts struct{ controller *rollout.Controller }

func (r rollouts) StartRollout(svc *config.Service) { r.controller.StartRollout(svc) }

func (r rollouts) Status(ctx context.Context, service string, revision int64) (*briarstandv1.Rollout, error) {
	s, err := r.controller.Status(ctx, service, revision)
	var unknown *rollout.UnknownRevisionError
	if errors.As(err, &unknown) {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	if err != nil {
		return nil, err
	}
	return rolloutMessage(s), nil
}

func (r rollouts) Wait(ctx context.Context, service string, revision int64) (*briarstandv1.Rollout, error) {
	s, err := r.controller.Wait(ctx, service, revision)
	if err != nil {
		return nil, err
	}
	return rolloutMessage(s), nil
}

func rolloutMessage(s rollout.Status) *briarstandv1.Rollout {
	state := briarstandv1.RolloutState_ROLLOUT_STATE_RECORDED
	if s.Accepted {
		state = briarstandv1.RolloutState_ROLLOUT_STATE_ACCEPTED
	}
	return &briarstandv1.Rollout{
		Service: s.Service, Revision: s.Revision, State: state,
		VmsInForce: int32(s.InForce), VmsTotal: int32(s.Total), WaitingFor: s.WaitingFor,
	}
}

// vms implements operatorapi.VMs with the member table.
type vms struct{ membership *membership.Membership }

func (v vms) ListVMs(context.Context) ([]*briarstandv1.VM, error) {
	var list []*briarstandv1.VM
	for _, m := range knownMembers(v.membership) {
		list = append(list, &briarstandv1.VM{
			Id: m.ID, Zone: m.Zone, Region: m.Region, CallerAddress: m.CallerAddress,
			State: string(m.State), ConfigIndex: m.ConfigIndex, Fresh: m.Fresh,
		})
	}
	return list, nil
}

// knownMembers returns the member table ordered by id. It includes the dead
// members, which a View omits, so that an operator sees which VMs were lost.
func knownMembers(m *membership.Membership) []membership.Member {
	members := slices.Clone(m.View().Members)
	for _, c := range m.Contacts() {
		if c.State == membership.Dead {
			members = append(members, c.Member)
		}
	}
	slices.SortFunc(members, func(a, b membership.Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}
