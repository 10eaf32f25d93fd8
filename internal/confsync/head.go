package confsync

// Head is what the head row says: the newest accepted revision.
type Head struct {
	// Revision is 0 while no configuration is stored.
	Revision uint64
}
