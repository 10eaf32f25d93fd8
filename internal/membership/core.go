package membership

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// Core decides what this node thinks of each VM. It does no I/O and has no
// clock. It is not safe for concurrent use.
type Core struct {
	settings Settings
	self     string
	records  map[string]*record // by id
	byAddr   map[string]string  // id by address for callers, requests or peers
	listAt   time.Time
	// accused are the VMs against which something stands that an answer from
	// them would clear: few, while the records are many.
	accused map[string]*record
}

// NewCore returns a core that knows only its own VM.
func NewCore(s Settings, self platform.VM) *Core {
	c := &Core{
		settings: s.WithDefaults(), self: self.ID,
		records: map[string]*record{}, byAddr: map[string]string{}, accused: map[string]*record{},
	}
	c.records[self.ID] = &record{vm: self}
	c.index()
	return c
}

// SetList takes an answer of the platform's list, read at that time. It
// returns false for one that is older than the last.
func (c *Core) SetList(vms []platform.VM, readAt time.Time) bool {
	if readAt.Before(c.listAt) {
		return false
	}
	c.listAt = readAt
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.ID] = true
		r := c.records[vm.ID]
		if r == nil {
			r = &record{}
			c.records[vm.ID] = r
		}
		r.list(vm)
	}
	for id := range c.records {
		if !listed[id] && id != c.self {
			delete(c.records, id)
			delete(c.accused, id)
		}
	}
	c.index()
	return true
}

func (c *Core) index() {
	clear(c.byAddr)
	for id, r := range c.records {
		c.byAddr[r.vm.Addr] = id
		if r.vm.Peer != "" {
			c.byAddr[r.vm.Peer] = id
		}
	}
}

// Observe takes what was seen of the VM at an address; it returns whether that
// may change the view.
func (c *Core) Observe(addr string, o Outcome, now time.Time) bool {
	return c.ObserveID(c.byAddr[addr], o, now)
}

// ObserveID takes what was seen of a VM by its id.
func (c *Core) ObserveID(id string, o Outcome, now time.Time) bool {
	r := c.records[id]
	if r == nil {
		return false
	}
	changed := r.observe(o, now, c.settings)
	if r.accused() {
		c.accused[id] = r
	} else {
		delete(c.accused, id)
	}
	return changed
}

// ObserveLoad takes the load that an entry VM reports of itself.
func (c *Core) ObserveLoad(id string, load float64) {
	if r := c.records[id]; r != nil {
		r.load = min(max(load, 0), 1)
	}
}

// accusedAddrs are the addresses of the VMs against which something stands.
func (c *Core) accusedAddrs() map[string]bool {
	addrs := make(map[string]bool, len(c.accused))
	for _, r := range c.accused {
		addrs[r.vm.Addr] = true
		addrs[r.vm.Peer] = true
	}
	return addrs
}

// nextTrial is when the next suspect is to be tried again; zero for none.
func (c *Core) nextTrial(now time.Time) time.Time {
	var next time.Time
	for _, r := range c.accused {
		if now.Before(r.suspectUntil) && (next.IsZero() || r.suspectUntil.Before(next)) {
			next = r.suspectUntil
		}
	}
	return next
}
