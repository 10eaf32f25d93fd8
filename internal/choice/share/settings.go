package share

import "time"

const (
	// tick is how often a node looks whether something is to be sent.
	tick = time.Second
	// scanGap is how often one node of a group reads the holds from the
	// table, and slowScanGap how often every node does, should that one have
	// fallen out unnoticed.
	scanGap     = 2 * time.Second
	slowScanGap = time.Minute
	// saveGap is how often what a group has seen of a version is written to
	// the table, and read from the other groups.
	saveGap = time.Minute
	// callTimeout bounds a call to a peer or the table.
	callTimeout = 2 * time.Second
	// largestGroup is up to how many nodes are one group whatever their
	// failure domains.
	largestGroup = 64
	// smallGroup is up to how many members a node reports every quickReport;
	// in a larger one it does every slowReport, which keeps the messages of a
	// node the same however many there are. A version under suspicion is
	// reported every tick.
	smallGroup  = 16
	quickReport = time.Second
	slowReport  = time.Minute
	// scanLimit bounds how many rows one reading of the table returns.
	scanLimit = 256
)
