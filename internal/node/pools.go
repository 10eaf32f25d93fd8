package node

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/admission"
)

// reportPools passes the reported load of the upstreams to admission, so that its limits depend
// on it and not on latency alone.
func (n *Node) reportPools() {
	snapshot := n.sync.Snapshot()
	if snapshot == nil {
		return
	}
	var versions, services []string
	for _, m := range snapshot.Doc.Models {
		versions = append(versions, versionNames(&m)...)
	}
	for _, s := range snapshot.Doc.Services {
		services = append(services, s.Name)
	}
	n.gate.observe(n.upstreams.loads(versions, services))
}

func (g *gate) observe(loads map[string]admission.PoolLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for pool, load := range loads {
		g.queue.Observe(pool, load)
	}
	g.deliver(g.queue.Next(time.Now()))
}
