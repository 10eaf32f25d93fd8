package gateway

import "time"

// versionKey names a version of a service.
func versionKey(service, version string) string { return service + "\x00" + version }

// admitVersion lets a version serve; the caller holds mu.
func (n *Node) admitVersion(service, version string) { n.known[versionKey(service, version)] = true }

// unorderedVersion returns a version of the service that may not serve yet:
// one that has just appeared and that nobody has ordered. The caller holds mu.
//
// Upstreams of a new version are listed when its roll-out is ordered, and the
// order may reach this node later than the list. Without the wait a version in
// doubt would get its full part of the requests meanwhile.
func (n *Node) unorderedVersion(service string, now time.Time) string {
	for _, v := range n.fleet.Versions(service) {
		key := versionKey(service, v)
		if n.known[key] {
			continue
		}
		if n.canary.Target(service) == v {
			n.known[key] = true
			continue
		}
		if n.held[key].IsZero() {
			n.held[key] = now
		}
		if now.Sub(n.held[key]) < newVersionHold {
			return v
		}
		n.known[key] = true
	}
	return ""
}
