package upstream

// LoadReport is what an upstream says of its load. It lags.
type LoadReport struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Limit is how many requests the engine batches at a time.
	Limit int `json:"limit"`
	// Versions are the versions that the engine has loaded.
	Versions []string `json:"versions,omitempty"`
	// Leaving is set when the upstream takes no new work.
	Leaving bool `json:"leaving,omitempty"`
	// Epoch tells the runs of the upstream's process apart: it changes with
	// each start.
	Epoch uint64 `json:"epoch,omitempty"`
	// AgeMillis is how old the report was when it was sent.
	AgeMillis int64 `json:"age_ms"`
}
