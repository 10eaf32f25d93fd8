package platform

// Txn is a conditional transaction. It counts as one write.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Condition demands that a row has this version; 0 demands that it is absent.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write replaces or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// CommitResult is the table's answer to a transaction.
type CommitResult struct {
	// Applied is false when a condition failed; nothing was written then.
	Applied bool `json:"applied"`
	// Version is the new version of the written rows.
	Version uint64 `json:"version,omitempty"`
	// Conflicts are the present rows of the conditions that failed.
	Conflicts []Row `json:"conflicts,omitempty"`
}
