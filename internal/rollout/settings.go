package rollout

import "time"

// Settings bound what a Driver does; zero fields take the defaults.
type Settings struct {
	// LoadsAtOnce is how many engines load a version at one time.
	LoadsAtOnce int
	// Tick is the time between two decisions.
	Tick time.Duration
}
