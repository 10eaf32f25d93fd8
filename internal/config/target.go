package config

// Target is an organisation's quality target for a class. Quality is in [0,1].
type Target struct {
	Class   string  `json:"class"`
	Quality float64 `json:"quality"`
}
