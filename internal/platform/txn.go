package platform

// Txn is a conditional transaction. It counts as one write against the rate limit.
type Txn struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Condition requires that a row has the given version; 0 requires that it is absent.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write creates, replaces or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// CommitResult is the result of a transaction.
type CommitResult struct {
	// Applied is false if a condition failed; then nothing was written.
	Applied bool `json:"applied"`
	// Version is the new version of the written rows.
	Version uint64 `json:"version,omitempty"`
	// Conflicts are the current rows of the failed conditions.
	Conflicts []Row `json:"conflicts,omitempty"`
}
