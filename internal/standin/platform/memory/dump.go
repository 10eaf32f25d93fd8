package memory

import (
	"math"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// Dump is what the platform holds under a prefix.
type Dump struct {
	Rows    []platform.Row `json:"rows"`
	Objects []ObjectSize   `json:"objects"`
	// VMs are all VMs as they are now, without lag.
	VMs []platform.VM `json:"vms"`
}

// ObjectSize is one object without its content.
type ObjectSize struct {
	Key   string `json:"key"`
	Bytes int    `json:"bytes"`
}

// Dump returns what the platform holds; it is neither limited nor faulted.
func (p *Platform) Dump(prefix string) Dump {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settled()
	dump := Dump{
		Rows: p.table.Scan(prefix, "", math.MaxInt),
		VMs:  p.vms.AsOf(now),
	}
	for _, key := range p.objectKeys(prefix) {
		dump.Objects = append(dump.Objects, ObjectSize{Key: key, Bytes: len(p.objects[key])})
	}
	return dump
}
