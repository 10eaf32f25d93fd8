package upstream

// LoadReport is the load that an upstream reports. It lags behind the actual load.
type LoadReport struct {
	// Running is the number of requests in progress.
	Running int `json:"running"`
	// Queued is the number of requests that wait for a slot.
	Queued int `json:"queued"`
	// Limit is the maximum number of requests that the engine batches.
	Limit int `json:"limit"`
	// Versions are the model versions that the engine has loaded.
	Versions []string `json:"versions,omitempty"`
	// Leaving is set if the upstream accepts no new requests.
	Leaving bool `json:"leaving,omitempty"`
	// Epoch identifies the run of the upstream's process; it changes at each start.
	Epoch uint64 `json:"epoch,omitempty"`
	// AgeMillis is the age of the report when it was sent, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
}
