package node

import (
	"time"

	"github.com/hickorybank/hickorybank/internal/secure"
)

// Settings are the static settings of an entry node.
type Settings struct {
	// ID is this VM's name in the platform's list.
	ID            string
	FailureDomain string
	// Listen, PeerListen and AdminListen are IP and port for callers, for
	// other entry nodes and for operators. An empty AdminListen offers no
	// administration API here.
	Listen      string
	PeerListen  string
	AdminListen string
	// OperatorKeyHashes are SHA-256 sums, in hexadecimal, of the operators'
	// bearer keys.
	OperatorKeyHashes []string
	// SessionKeys sign session tokens: the first signs, all verify.
	SessionKeys [][]byte
	// Seeds are peer addresses to ask while no VM list is known, as at a
	// start during an outage of the platform.
	Seeds []string
	// AddressTTL is how long callers may keep an address answer; 0: the default.
	AddressTTL time.Duration
	// TLS is for the listeners and for calls between nodes; its zero value
	// means plain TCP.
	TLS secure.Configs
	// Seed spreads what must differ between nodes.
	Seed uint64
}
