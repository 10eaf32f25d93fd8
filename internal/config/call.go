package config

// Call declares one call of a service.
type Call struct {
	Method string `json:"method"`
	// Path is a prefix of the path below the service, for example "/receipts/".
	Path string `json:"path"`
	// Idempotent calls may be repeated; others run at most once.
	Idempotent bool   `json:"idempotent"`
	Class      string `json:"class"`
	// Cost is in micro-units of currency per call.
	Cost int64 `json:"cost"`
}
