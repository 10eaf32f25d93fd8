package node

import (
	"net"
	"time"

	"github.com/hickorybank/hickorybank/internal/secure"
)

// Settings are the static settings of an entry node.
type Settings struct {
	// ID is this VM's name in the platform's list.
	ID            string
	FailureDomain string
	// Listen, PeerListen and AdminListen are the addresses (IP and port) of the listeners for
	// callers, other entry nodes and operators. An empty AdminListen disables the
	// administration API on this node.
	Listen      string
	PeerListen  string
	AdminListen string
	// OperatorKeyHashes are SHA-256 sums, in hexadecimal, of the operators'
	// bearer keys.
	OperatorKeyHashes []string
	// SessionKeys sign session tokens: the first signs, all verify.
	SessionKeys [][]byte
	// Source is the IP from which the node calls its peers; nil leaves the choice to the
	// system.
	Source net.IP
	// Seeds are peer addresses to query while no VM list is known, for instance when the node
	// starts during an outage of the platform.
	Seeds []string
	// AddressTTL is how long callers may cache the entry addresses; 0 selects the default.
	AddressTTL time.Duration
	// MemoryMB is the memory of the process in MiB, MaxFDs the number of descriptors that it may have; 0
	// for no bound on what callers take of them.
	MemoryMB, MaxFDs int
	// TLS configures the listeners and the calls between nodes; its zero value means plain
	// TCP.
	TLS secure.Configs
	// Seed initialises the random choices that must differ between nodes.
	Seed uint64
}
