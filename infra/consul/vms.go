package consul

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"

	"aspenyard.example/infra"
	"aspenyard.example/progress"
)

// catalogNode is one item of the catalog's list of nodes.
type catalogNode struct {
	Node       string
	Address    string
	Datacenter string
	Meta       map[string]string
}

// maxNameBytes bounds the names of a VM, which heartbeats and metrics carry.
const maxNameBytes = 256

// VMs implements infra.VMList. Entries that cannot be those of a VM are left out.
func (c *Client) VMs(ctx context.Context) ([]infra.VM, error) {
	ctx, cancel := progress.WithLimits(ctx, progress.Limits{Answer: c.timeout, Stall: c.timeout})
	defer cancel()
	status, body, err := c.send(ctx, http.MethodGet, "/v1/catalog/nodes", nil, nil, maxListBytes)
	if err != nil {
		return nil, errors.Wrapf(infra.ErrUnavailable, "list VMs: %v", err)
	}
	if status != http.StatusOK {
		return nil, errors.Wrapf(infra.ErrUnavailable, "list VMs: HTTP status %d", status)
	}
	entries, whole := splitList(body)
	if !whole {
		return nil, errors.Wrap(infra.ErrUnavailable, "list VMs: unexpected body")
	}
	vms := make([]infra.VM, 0, len(entries))
	for _, entry := range entries {
		vm, err := decodeVM(entry)
		switch {
		case err != nil && c.observeRefused != nil:
			c.observeRefused(string(entry[:min(len(entry), maxNameBytes)]), err)
		case err == nil:
			vms = append(vms, vm)
		}
	}
	return vms, nil
}

// splitList splits a JSON list into its entries without decoding them: encoding/json refuses a whole list for one entry
// that is nested too deeply. It reports whether the list is whole.
func splitList(body []byte) (entries [][]byte, whole bool) {
	body = bytes.TrimSpace(body)
	if len(body) == 0 || body[0] != '[' {
		return nil, false
	}
	depth, start, inString, escaped := 0, 1, false, false
	for i, b := range body {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped, inString = b == '\\', b != '"'
		case b == '"':
			inString = true
		case b == '[' || b == '{':
			depth++
		case b == ',' && depth == 1:
			entries, start = append(entries, body[start:i]), i+1
		case b == ']' || b == '}':
			if depth--; depth > 0 {
				continue
			}
			if last := bytes.TrimSpace(body[start:i]); len(last) > 0 {
				entries = append(entries, last)
			}
			return entries, b == ']' && i == len(body)-1
		}
	}
	return nil, false
}

// decodeVM decodes and checks an entry of the list.
func decodeVM(entry []byte) (infra.VM, error) {
	var node catalogNode
	if err := json.Unmarshal(entry, &node); err != nil {
		return infra.VM{}, errors.WithStack(err)
	}
	vm := infra.VM{Name: node.Node, Addr: node.Address, DataCentre: node.Datacenter, Role: node.Meta["role"], Leaving: node.Meta["state"] == "leaving"}
	switch addr, err := netip.ParseAddrPort(vm.Addr); {
	case vm.Name == "" || len(vm.Name) > maxNameBytes || len(vm.DataCentre) > maxNameBytes:
		return infra.VM{}, errors.Errorf("a name has no byte or over %d", maxNameBytes)
	case vm.Role != infra.RoleEntry && vm.Role != infra.RoleAgent:
		return infra.VM{}, errors.Errorf("role is %.40q, allowed: %s or %s", vm.Role, infra.RoleEntry, infra.RoleAgent)
	case err != nil:
		return infra.VM{}, errors.Wrap(err, "address")
	case addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast():
		return infra.VM{}, errors.Errorf("address %q is not that of a process", vm.Addr)
	}
	return vm, nil
}
