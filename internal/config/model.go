package config

// Model is a named model with its versions. A request for the model runs on one of them.
type Model struct {
	Name     string    `json:"name"`
	Versions []Version `json:"versions"`
}
