package relay

// Peer is a node that may open connections for this one.
type Peer struct {
	ID string
	// Addr is the address for other nodes, as host:port.
	Addr string
}

// Peers is what a node knows of the other nodes and of the upstreams.
type Peers interface {
	// Pick returns up to count random live peers: first one of this node's failure domain, then
	// others. It leaves out those for which avoid returns true.
	Pick(count int, avoid func(id string) bool) []Peer
	// IsPeer reports whether a process of another node is known and has this IP.
	IsPeer(process Identity, ip string) bool
	// IsUpstream reports whether an upstream is listed at a host and port.
	IsUpstream(addr string) bool
}

// Prefer returns up to count peers: one of this node's failure domain, then others, then the rest of
// its own. Nodes of a failure domain often lose their links together.
func Prefer(near, far []Peer, count int) []Peer {
	first := min(len(near), 1)
	all := make([]Peer, 0, len(near)+len(far))
	all = append(all, near[:first]...)
	all = append(all, far...)
	all = append(all, near[first:]...)
	return all[:min(len(all), count)]
}
