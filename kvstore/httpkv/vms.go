package httpkv

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"

	"github.com/briarstand/briarstand/kvstore"
)

// Keys of a VM's service metadata.
const (
	MetaZone        = "zone"
	MetaRegion      = "region"
	MetaPeerAddress = "peer_address"
	MetaState       = "state"
)

// registration is the protocol's form of a VM's registration.
type registration struct {
	ID      string
	Name    string
	Address string
	Port    int
	Meta    map[string]string
}

// catalogRow is the protocol's form of a VM in a listing.
type catalogRow struct {
	ServiceID   string
	ServiceMeta map[string]string
}

// ListVMs returns the platform's list of VMs. Invalid rows are logged and
// skipped, so that one of them does not hide the other VMs.
func (c *Client) ListVMs(ctx context.Context) ([]kvstore.VM, error) {
	op := "list VMs"
	r, err := c.read(ctx, call{
		op: op, method: http.MethodGet, path: "/v1/catalog/service/" + url.PathEscape(c.serviceName), limit: c.maxListBytes,
	})
	if err != nil {
		return nil, err
	}
	if r.status == http.StatusNotFound {
		return nil, &ProtocolError{Op: op, Reason: "the platform has no VM list"}
	}
	var rows []catalogRow
	if err := decode(op, r, &rows); err != nil {
		return nil, err
	}
	vms := make([]kvstore.VM, 0, len(rows))
	for _, row := range rows {
		vm, err := row.vm()
		if err != nil {
			c.log.Warn("skipped an invalid row of the VM list", "id", row.ServiceID, "err", err)
			continue
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

func (r catalogRow) vm() (kvstore.VM, error) {
	vm := kvstore.VM{
		ID: r.ServiceID, Zone: r.ServiceMeta[MetaZone], Region: r.ServiceMeta[MetaRegion],
		PeerAddress: r.ServiceMeta[MetaPeerAddress], State: kvstore.VMState(r.ServiceMeta[MetaState]),
	}
	if vm.ID == "" {
		return vm, &ProtocolError{Op: "list VMs", Reason: "row without an id"}
	}
	if _, _, err := splitAddress(vm.PeerAddress); err != nil {
		return vm, err
	}
	if vm.State != kvstore.VMLeaving {
		// An unknown state counts as live, so that configuration changes still wait
		// for the VM.
		vm.State = kvstore.VMLive
	}
	return vm, nil
}

// RegisterVM adds a VM to the platform's list, or replaces its row. It returns an
// *AddressError if the peer address is invalid.
func (c *Client) RegisterVM(ctx context.Context, vm kvstore.VM) error {
	host, port, err := splitAddress(vm.PeerAddress)
	if err != nil {
		return err
	}
	if vm.State == "" {
		vm.State = kvstore.VMLive
	}
	body, err := json.Marshal(registration{
		ID: vm.ID, Name: c.serviceName, Address: host, Port: port,
		Meta: map[string]string{
			MetaZone: vm.Zone, MetaRegion: vm.Region, MetaPeerAddress: vm.PeerAddress, MetaState: string(vm.State),
		},
	})
	if err != nil {
		return fmt.Errorf("register VM %s: %w", vm.ID, err)
	}
	_, err = c.write(ctx, vm.ID, call{
		op: "register VM " + vm.ID, method: http.MethodPut, path: "/v1/agent/service/register", body: body, limit: maxReplyBytes,
	})
	return err
}

// DeregisterVM removes a VM from the platform's list.
func (c *Client) DeregisterVM(ctx context.Context, id string) error {
	_, err := c.write(ctx, id, call{
		op: "deregister VM " + id, method: http.MethodPut,
		path: "/v1/agent/service/deregister/" + url.PathEscape(id), limit: maxReplyBytes,
	})
	return err
}

// AddressError reports a peer address that is not of the form host:port.
type AddressError struct {
	Address string
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("peer address %q is not of the form host:port", e.Address)
}

func splitAddress(address string) (string, int, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return "", 0, &AddressError{Address: address}
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 {
		return "", 0, &AddressError{Address: address}
	}
	return host, int(number), nil
}
