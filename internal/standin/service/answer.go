package service

// Answer is the body of each answer of the stand-in.
type Answer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	// Count is how often this key has run on this path, this run included.
	Count int `json:"count"`
	// Echo is the start of the call's body.
	Echo string `json:"echo,omitempty"`
}
