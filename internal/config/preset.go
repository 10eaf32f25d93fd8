package config

// Preset is a named operating policy, for example for ordinary days, peaks or maintenance.
type Preset struct {
	Name string `json:"name"`
	// DeferDeferrable refuses deferrable requests at once, with Retry-After, while immediate or
	// heavy requests are queued.
	DeferDeferrable bool `json:"defer_deferrable"`
	// Cascades allows a cheaper version to be tried before a more expensive one.
	Cascades bool `json:"cascades"`
	// AdvanceRollouts allows rollouts to advance to their next stage.
	AdvanceRollouts bool `json:"rollouts_move"`
}
