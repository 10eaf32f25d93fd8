package ledger

// Stats are counts since the start, and present sizes.
type Stats struct {
	Claims      uint64
	Granted     uint64
	Bills       uint64
	TableWrites uint64
	TableReads  uint64
	ObjectPuts  uint64
	// ObjectReads counts objects that were read, and lists of them.
	ObjectReads uint64
	// Conflicts counts claim batches that lost a race.
	Conflicts uint64
	// LostAcks counts writes whose answer was lost.
	LostAcks uint64
	// Held counts the bills that this node holds for others.
	Held int
	// Waiting counts the bills that the platform has not taken yet.
	Waiting int
}
