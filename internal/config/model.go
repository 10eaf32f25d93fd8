package config

// Model is a family of versions behind one name.
type Model struct {
	Name     string    `json:"name"`
	Versions []Version `json:"versions"`
}
