package ledger

// Stats holds counts since the start, and current sizes.
type Stats struct {
	Claims      uint64
	Granted     uint64
	Bills       uint64
	TableWrites uint64
	TableReads  uint64
	ObjectPuts  uint64
	// ObjectReads counts reads of objects, and lists of objects.
	ObjectReads uint64
	// Conflicts counts claim batches that failed because another writer was faster.
	Conflicts uint64
	// LostAcks counts table writes that got no answer.
	LostAcks uint64
	// Held is the number of bills that this node holds for other nodes.
	Held int
	// Waiting is the number of bills that no store of the platform has taken yet.
	Waiting int
}
