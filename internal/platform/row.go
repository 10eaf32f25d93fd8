package platform

// Row is one row of the table.
type Row struct {
	Key string `json:"key"`
	// Version increases with each write of the row; 0 means that the row is absent.
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}
