package choice

import "time"

// Settings are the static settings of a [Chooser].
type Settings struct {
	// Node names this node among its peers.
	Node string
	// Epoch tells the runs of a node apart; a later run has a higher one,
	// for example the start time in nanoseconds.
	Epoch uint64
	// Confidence is by how many standard deviations expected qualities are
	// lowered before they are compared with a target; 0 is [DefaultConfidence].
	Confidence float64
	// SampleShare is the share of answers that are rated when nothing speaks
	// for more; 0 is [DefaultSampleShare].
	SampleShare float64
}

// Defaults, chosen by the measurements in docs/measurements/choice.md.
const (
	DefaultConfidence  = 1.65
	DefaultSampleShare = 0.25

	// refreshGap is how old the plans made of the estimates may get.
	refreshGap = 5 * time.Second
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
