package gateway

import "github.com/hickorybank/hickorybank/internal/fleet"

// countPrefix counts the shared tokens of an attempt's prompt, and those expected to be cached
// at its upstream.
func (n *Node) countPrefix(w *fleet.Work) {
	asked, kept := w.PrefixTokens()
	if asked == 0 {
		return
	}
	n.metrics.Counter("hickorybank_prefix_tokens_total").Add(asked)
	n.metrics.Counter("hickorybank_prefix_tokens_expected_kept_total").Add(kept)
}
