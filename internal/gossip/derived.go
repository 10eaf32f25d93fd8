package gossip

// derived caches the groups of a roster since its members last changed. Members change
// rarely, but each message and each search for a reader needs the groups.
type derived struct {
	groups      [][]Member
	group       []Member
	leaderGroup []Member
	reader      Member
}
