package config

// Document is one complete configuration. Exactly one of its presets is in force: the one that
// Preset names.
type Document struct {
	Preset        string         `json:"preset"`
	Presets       []Preset       `json:"presets"`
	Classes       []Class        `json:"classes"`
	Models        []Model        `json:"models"`
	Services      []Service      `json:"services"`
	Organisations []Organisation `json:"organisations"`
}
