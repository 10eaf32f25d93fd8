package memory

import (
	"math"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// Dump is the content of the platform under a key prefix.
type Dump struct {
	// Rows are the rows under the prefix, in key order.
	Rows []platform.Row `json:"rows"`
	// Objects are the objects under the prefix, in key order.
	Objects []ObjectSize `json:"objects"`
	// VMs are all VMs in their current state, without lag.
	VMs []platform.VM `json:"vms"`
}

// ObjectSize is the key and the size of an object.
type ObjectSize struct {
	// Key is the key of the object.
	Key string `json:"key"`
	// Bytes is the size of its content.
	Bytes int `json:"bytes"`
}

// Dump returns the rows and objects under a prefix, and all VMs. Rate limits and
// faults do not apply to it.
func (p *Platform) Dump(prefix string) Dump {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.applyDueWrites()
	dump := Dump{
		Rows: p.table.Scan(prefix, "", math.MaxInt),
		VMs:  p.vms.AsOf(now),
	}
	for _, key := range p.objectKeys(prefix) {
		dump.Objects = append(dump.Objects, ObjectSize{Key: key, Bytes: len(p.objects[key])})
	}
	return dump
}
