package gateway

import "time"

// versionKey returns the key of a service's version in maps.
func versionKey(service, version string) string { return service + "\x00" + version }

// noteVersion records that upstreams of a version are listed; the caller holds mu. The
// first versions of a service may serve at once, a later one only after newVersionHold,
// unless it was ordered.
//
// Upstreams of a new version are listed when its rollout is ordered, and the order may
// reach this node later than the list. Without the hold an unproven version would meanwhile
// get its full share of the requests.
func (n *Node) noteVersion(service, version string, now time.Time) {
	key := versionKey(service, version)
	if n.allowedVersions[key] || !n.heldVersions[key].IsZero() {
		return
	}
	if n.firstListedAt[service].IsZero() {
		n.firstListedAt[service] = now
	}
	if now.Sub(n.firstListedAt[service]) < newVersionHold {
		n.allowedVersions[key] = true
		return
	}
	n.heldVersions[key] = now
}

// heldVersion returns a version of the service that may not serve yet; empty for none. The
// caller holds mu.
func (n *Node) heldVersion(service string, now time.Time) string {
	for _, v := range n.fleet.Versions(service) {
		if n.isHeld(service, v, now) {
			return v
		}
		n.allowedVersions[versionKey(service, v)] = true
	}
	return ""
}

// previewHeldVersion returns the same version and allows none; the caller holds mu.
func (n *Node) previewHeldVersion(service string, now time.Time) string {
	for _, v := range n.fleet.Versions(service) {
		if n.isHeld(service, v, now) {
			return v
		}
	}
	return ""
}

// isHeld reports whether a version may not serve yet; the caller holds mu.
func (n *Node) isHeld(service, version string, now time.Time) bool {
	key := versionKey(service, version)
	return !n.allowedVersions[key] && n.canary.Target(service) != version && now.Sub(n.heldVersions[key]) < newVersionHold
}
