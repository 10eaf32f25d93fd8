package membership

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// Core determines the state of each VM from the platform's list and from observations. It
// does no I/O and has no clock. It is not safe for concurrent use.
type Core struct {
	settings   Settings
	self       string
	records    map[string]*record // by ID
	byAddr     map[string]string  // ID by address for callers, requests and peers
	listReadAt time.Time
	// failing are the VMs with recorded failures that a response from them would clear:
	// few, while the records are many.
	failing map[string]*record
}

// NewCore returns a core that contains only its own VM.
func NewCore(s Settings, self platform.VM) *Core {
	c := &Core{
		settings: s.WithDefaults(), self: self.ID,
		records: map[string]*record{}, byAddr: map[string]string{}, failing: map[string]*record{},
	}
	c.records[self.ID] = &record{vm: self}
	c.rebuildIndex()
	return c
}

// SetList applies a VM list of the platform, read at readAt. It returns false and ignores the
// list if it is older than the last one. This node's own VM is never removed.
func (c *Core) SetList(vms []platform.VM, readAt time.Time) bool {
	if readAt.Before(c.listReadAt) {
		return false
	}
	c.listReadAt = readAt
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = true
		r := c.records[vm.ID]
		if r == nil {
			r = &record{}
			c.records[vm.ID] = r
		}
		r.updateFromList(vm)
	}
	for id := range c.records {
		if !listed[id] && id != c.self {
			delete(c.records, id)
			delete(c.failing, id)
		}
	}
	c.rebuildIndex()
	return true
}

func (c *Core) rebuildIndex() {
	clear(c.byAddr)
	for id, r := range c.records {
		c.byAddr[r.vm.Addr] = id
		if r.vm.Peer != "" {
			c.byAddr[r.vm.Peer] = id
		}
	}
}

// Observe records an observation of the VM at an address, and reports whether it may change
// the view. Unknown addresses are ignored.
func (c *Core) Observe(addr string, o Outcome, now time.Time) bool {
	return c.ObserveID(c.byAddr[addr], o, now)
}

// ObserveID records an observation of the VM with an ID, and reports whether it may change
// the view. Unknown IDs are ignored.
func (c *Core) ObserveID(id string, o Outcome, now time.Time) bool {
	r := c.records[id]
	if r == nil {
		return false
	}
	changed := r.observe(o, now, c.settings)
	if r.failing() {
		c.failing[id] = r
	} else {
		delete(c.failing, id)
	}
	return changed
}

// ObserveLoad records the load that an entry VM reports, limited to [0,1].
func (c *Core) ObserveLoad(id string, load float64) {
	if r := c.records[id]; r != nil {
		r.load = min(max(load, 0), 1)
	}
}

// failingAddrs returns the addresses of the VMs with recorded failures.
func (c *Core) failingAddrs() map[string]bool {
	addrs := make(map[string]bool, len(c.failing))
	for _, r := range c.failing {
		addrs[r.vm.Addr] = true
		addrs[r.vm.Peer] = true
	}
	return addrs
}

// nextRetry returns the time at which the next suspect is due for a retry; zero for none.
func (c *Core) nextRetry(now time.Time) time.Time {
	var next time.Time
	for _, r := range c.failing {
		if now.Before(r.suspectUntil) && (next.IsZero() || r.suspectUntil.Before(next)) {
			next = r.suspectUntil
		}
	}
	return next
}
