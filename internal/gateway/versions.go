package gateway

import "time"

// versionKey names a version of a service.
func versionKey(service, version string) string { return service + "\x00" + version }

// meetVersion notes that upstreams of a version are listed; the caller holds
// mu. The first versions of a service may serve at once, a later one only
// after a while, unless it was ordered.
//
// Upstreams of a new version are listed when its roll-out is ordered, and the
// order may reach this node later than the list. Without the wait a version in
// doubt would get its full part of the requests meanwhile.
func (n *Node) meetVersion(service, version string, now time.Time) {
	key := versionKey(service, version)
	if n.known[key] || !n.held[key].IsZero() {
		return
	}
	if n.served[service].IsZero() {
		n.served[service] = now
	}
	if now.Sub(n.served[service]) < newVersionHold {
		n.known[key] = true
		return
	}
	n.held[key] = now
}

// unorderedVersion returns a version of the service that may not serve yet.
// The caller holds mu.
func (n *Node) unorderedVersion(service string, now time.Time) string {
	for _, v := range n.fleet.Versions(service) {
		key := versionKey(service, v)
		if n.known[key] {
			continue
		}
		if n.canary.Target(service) != v && now.Sub(n.held[key]) < newVersionHold {
			return v
		}
		n.known[key] = true
	}
	return ""
}
