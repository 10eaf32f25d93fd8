package ledger

import "time"

// Settings are the ledger's static settings; they must be alike on all nodes.
type Settings struct {
	// ClaimShards is how many claim logs are written side by side.
	ClaimShards int
	// ClaimWritesPerSecond bounds the table writes for claims, of all nodes
	// together.
	ClaimWritesPerSecond float64
	// BillWritesPerSecond bounds the table writes for bills, of all nodes
	// together.
	BillWritesPerSecond float64
	// Window is how long a key is kept; an older key is refused.
	Window time.Duration
	// RunLimit is how long a claim counts as running.
	RunLimit time.Duration
	// MaxAnswer is the longest answer kept with a settlement, in bytes.
	MaxAnswer int
}

// DefaultSettings suit 6 to 8 nodes.
func DefaultSettings() Settings {
	return Settings{
		ClaimShards:          4,
		ClaimWritesPerSecond: 100,
		BillWritesPerSecond:  150,
		Window:               24 * time.Hour,
		RunLimit:             15 * time.Minute,
		MaxAnswer:            8 << 10,
	}
}
