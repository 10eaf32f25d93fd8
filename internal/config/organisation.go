package config

// Organisation is one customer with its own keys, permitted versions and quality targets.
type Organisation struct {
	Name string `json:"name"`
	// KeyHashes are the hexadecimal SHA-256 sums of the bearer keys, as returned by [HashKey].
	KeyHashes []string `json:"key_hashes"`
	// Weight is the organisation's fair share relative to the other organisations.
	Weight float64 `json:"weight"`
	// RatePerSecond limits the requests a second over all nodes; 0 means no limit.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	// Versions names the versions that the organisation may use.
	Versions []string `json:"versions"`
	// Services names the plain services that the organisation may call.
	Services []string `json:"services,omitempty"`
	// Targets holds at most one quality target for each class, each with a quality from 0 to 1.
	Targets []Target `json:"targets"`
}
