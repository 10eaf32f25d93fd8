package config

// Preset is a named operating policy: ordinary days, peaks, maintenance.
type Preset struct {
	Name string `json:"name"`
	// DeferDeferrable refuses deferrable work at once, with Retry-After,
	// while immediate or heavy work is queued.
	DeferDeferrable bool `json:"defer_deferrable"`
	// Cascades allows a cheap version to be tried before a dear one.
	Cascades bool `json:"cascades"`
	// RolloutsMove lets roll-outs advance to their next stage.
	RolloutsMove bool `json:"rollouts_move"`
}
