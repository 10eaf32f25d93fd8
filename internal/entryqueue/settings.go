package entryqueue

import "time"

// Settings are the parameters of a [Queue]. Zero fields take their defaults.
type Settings struct {
	// WaitShare bounds the wait of a request within its organisation's fair share, as a
	// fraction of its latency goal.
	WaitShare float64
	// MaxWaiting bounds the waiting requests.
	MaxWaiting int
}

const (
	defaultWaitShare  = 0.2
	defaultMaxWaiting = 64
	// fullLoad is the share of slots in use from which requests wait.
	fullLoad = 1.0
	// maxLoad caps the load, so that an invalid estimate does not stop a node.
	maxLoad = 4.0
	// minLoad bounds the growth of a node's concurrency while requests wait.
	minLoad = 0.25
	// loadFreshFor is how long a load counts. A node without newer news does not hold
	// requests.
	loadFreshFor = time.Second
	// releaseInterval bounds how often all waiting requests are considered.
	releaseInterval = 10 * time.Millisecond
	// usageWindow is the time constant of an organisation's recent use. A node runs a few
	// requests of each organisation only, so their number at one moment says little.
	usageWindow = 2 * time.Second
	// minShare is the least fair share in recent requests: fewer requests at one node do not
	// show that an organisation sends more than others.
	minShare = 4
	// smoothing is the time constant of the node's own concurrency. It matches the age of
	// the load.
	smoothing = 400 * time.Millisecond
	// overShareWait is the part of the time left beyond the goal during which a request over
	// its organisation's share waits. The rest is left for its answer.
	overShareWait = 0.5
	// maxHalvings bounds how often the places to wait halve with each less urgent priority.
	maxHalvings = 3
	// maxReturns bounds the refused requests whose places are kept.
	maxReturns = 1024
)

func (s Settings) withDefaults() Settings {
	if s.WaitShare <= 0 {
		s.WaitShare = defaultWaitShare
	}
	if s.MaxWaiting <= 0 {
		s.MaxWaiting = defaultMaxWaiting
	}
	return s
}
