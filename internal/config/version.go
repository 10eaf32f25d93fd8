package config

// VersionState is the stage of a version's life cycle. It decides how much work the version receives.
type VersionState string

// The states of a version.
const (
	// Serving versions receive any share of their model's requests.
	Serving VersionState = "serving"
	// Staged versions receive at most Share of their model's requests.
	Staged VersionState = "staged"
	// Withdrawn versions receive no new work.
	Withdrawn VersionState = "withdrawn"
)

// Version is one version of a model. Its name, for example "drafter@3", is unique among all models,
// classes and versions.
type Version struct {
	Name  string       `json:"name"`
	State VersionState `json:"state"`
	// InputCost and OutputCost are prices in micro-units of currency per 1,000 tokens.
	InputCost  int64 `json:"input_cost"`
	OutputCost int64 `json:"output_cost"`
	// PriorQuality in [0,1] is the quality that operators expect. It applies until there are ratings.
	PriorQuality float64 `json:"prior_quality"`
	// Share in [0,1] is the largest fraction of its model's requests that a staged version receives.
	Share float64 `json:"share,omitempty"`
	// ExposureCap is the number of answers that a staged version may give, on all nodes together,
	// before its ratings have arrived.
	ExposureCap int `json:"exposure_cap,omitempty"`
}
