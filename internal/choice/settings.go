package choice

import "time"

// Settings are the static settings of a [Chooser].
type Settings struct {
	// Node is the ID of this node among its peers.
	Node string
	// Epoch distinguishes the runs of a node; a later run has a higher epoch, for example
	// the start time in nanoseconds.
	Epoch uint64
	// Confidence is the number of standard deviations by which expected qualities are
	// lowered before they are compared with a target; 0 means [DefaultConfidence].
	Confidence float64
	// SampleShare is the share of answers that are rated where no rule demands more; 0
	// means [DefaultSampleShare].
	SampleShare float64
}

// Defaults; docs/measurements/choice.md gives the figures behind them.
const (
	DefaultConfidence  = 1.65
	DefaultSampleShare = 0.25

	// refreshInterval is the maximum age of the estimates and frontiers in a view.
	refreshInterval = 5 * time.Second
)

func (s Settings) withDefaults() Settings {
	if s.Confidence == 0 {
		s.Confidence = DefaultConfidence
	}
	if s.SampleShare == 0 {
		s.SampleShare = DefaultSampleShare
	}
	return s
}
