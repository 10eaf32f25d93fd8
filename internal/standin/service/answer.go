package service

// Answer is the body of the answer to a call that has run.
type Answer struct {
	// Service is the configured name of the service.
	Service string `json:"service"`
	// Path is the call's path.
	Path string `json:"path"`
	// Key is the call's Idempotency-Key, or empty.
	Key string `json:"key,omitempty"`
	// Count is the number of runs of calls with the same method, path and key, this run
	// included.
	Count int `json:"count"`
	// Echo is the start of the call's body, at most 256 bytes.
	Echo string `json:"echo,omitempty"`
}
