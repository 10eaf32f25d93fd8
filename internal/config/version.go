package config

// VersionState is where a version stands in its life.
type VersionState string

// The states of a version.
const (
	// Serving versions take any share of the work.
	Serving VersionState = "serving"
	// Staged versions take at most Share of their model's requests.
	Staged VersionState = "staged"
	// Withdrawn versions receive no new work.
	Withdrawn VersionState = "withdrawn"
)

// Version is one concrete version of a model. Its name is unique over all
// models, classes and versions, for example "drafter@3".
type Version struct {
	Name  string       `json:"name"`
	State VersionState `json:"state"`
	// InputCost and OutputCost are in micro-units of currency per 1,000 tokens.
	InputCost  int64 `json:"input_cost"`
	OutputCost int64 `json:"output_cost"`
	// PriorQuality in [0,1] is the operators' belief before ratings are in.
	PriorQuality float64 `json:"prior_quality"`
	// Share in [0,1] bounds a staged version's part of its model's requests.
	Share float64 `json:"share,omitempty"`
	// ExposureCap is how many answers a staged version may give, over all
	// nodes together, before its ratings are in.
	ExposureCap int `json:"exposure_cap,omitempty"`
}
