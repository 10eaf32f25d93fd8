package config

// Call declares which requests to a plain service are accepted: those with one method below one
// path prefix. It also gives their class and cost.
type Call struct {
	Method string `json:"method"`
	// Path is a prefix of the path below the service, for example "/receipts/".
	Path string `json:"path"`
	// Idempotent calls may be retried; others run at most once.
	Idempotent bool   `json:"idempotent"`
	Class      string `json:"class"`
	// Cost is the price of one call, in micro-units of currency.
	Cost int64 `json:"cost"`
}
