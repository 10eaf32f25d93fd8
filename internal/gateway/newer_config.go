package gateway

import "time"

// maxNewerConfigWait bounds how long a request waits for a configuration that a peer is known to
// have.
const maxNewerConfigWait = 500 * time.Millisecond

// admitByNewest admits a request, by the newest configuration that any peer is known to have if
// this node's own refuses it. A 401, 403 or 404 is final for its caller, so it must not follow
// from a configuration that is known to be replaced.
func (j *job) admitByNewest() *refusal {
	for {
		behind := j.node.isConfigOutdated() // before admit, which then uses what is known now
		ref := j.admit()
		if ref == nil || !ref.isConfigured() || !behind {
			return ref
		}
		if time.Since(j.start) >= j.newerConfigWait() || !pause(j.r.Context(), waitPollInterval) {
			return outdatedConfig
		}
	}
}

// newerConfigWait returns how long the request waits for a newer configuration.
func (j *job) newerConfigWait() time.Duration {
	if j.headers.Timeout <= 0 {
		return maxNewerConfigWait
	}
	return min(time.Duration(configWaitFraction*float64(j.headers.Timeout)), maxNewerConfigWait)
}

// isConfigOutdated reports whether a live peer has a newer configuration, which this node has not
// rejected.
func (n *Node) isConfigOutdated() bool {
	own := n.configVersion()
	if own == 0 || n.newestPeerVersion.Load() <= max(own, n.rejectedVersion.Load()) {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, p := range n.peerStates {
		if p.configVersion > max(own, n.rejectedVersion.Load()) {
			if _, alive := n.roster.Get(id); alive {
				return true
			}
		}
	}
	return false
}
