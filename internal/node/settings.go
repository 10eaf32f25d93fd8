package node

// Settings are the static settings of an entry node.
type Settings struct {
	ID            string
	Listen        string // IP and port for callers
	Advertise     string // IP and port told to callers; empty: the listener's
	FailureDomain string
}
