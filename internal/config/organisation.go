package config

// Organisation is one customer firm with its own keys, versions and targets.
type Organisation struct {
	Name string `json:"name"`
	// KeyHashes are SHA-256 sums, in hexadecimal, of the bearer keys.
	KeyHashes []string `json:"key_hashes"`
	// Weight is the organisation's fair share relative to the others.
	Weight float64 `json:"weight"`
	// RatePerSecond bounds its requests a second over all nodes; 0 is unbounded.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	// Versions lists the versions it may use.
	Versions []string `json:"versions"`
	// Services lists the plain services it may call.
	Services []string `json:"services,omitempty"`
	// Targets are quality targets in [0,1].
	Targets []Target `json:"targets"`
}
