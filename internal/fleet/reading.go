package fleet

import "time"

const (
	// readingLeast is the least number of tokens whose reading tells its pace: shorter
	// prompts wait longer for others than they take themselves.
	readingLeast = 3000
	// readingEnough is how many prompts have to be read before the pace is used.
	readingEnough = 4
	// readingStep is by which part a wait above the known pace lifts it; one below lowers it
	// three times as much, so that a quarter of the waits are shorter.
	readingStep = 0.04
)

// reading is the pace at which a model's upstreams read prompts where little else waits:
// the lower quartile of the waits for a token.
type reading struct {
	perToken float64 // seconds
	count    int
}

// add takes a prompt whose answer began after a time.
func (r *reading) add(waited time.Duration, tokens float64) {
	one := waited.Seconds() / tokens
	r.count++
	step := max(readingStep, 1/float64(3*r.count))
	switch {
	case r.perToken == 0:
		r.perToken = one
	case one > r.perToken:
		r.perToken = min(r.perToken*(1+step), one)
	default:
		r.perToken = max(r.perToken/(1+3*step), one)
	}
}

// Reading is how long a model takes until its answer to a prompt begins, where little else
// waits at its upstream; 0 where that is not known.
func (f *Fleet) Reading(w *Want) time.Duration {
	r := f.readings[delayKey{w.Service, w.Model}]
	if r == nil || r.count < readingEnough {
		return 0
	}
	return time.Duration(r.perToken * unread(w) * float64(time.Second))
}

// unread is how many tokens of a prompt an upstream usually has to read.
func unread(w *Want) float64 {
	return max(float64(w.Tokens)-holderKeeps*float64(sharedTokens(w)), leastTokens)
}

// noteReading notes how long a prompt took.
func (f *Fleet) noteReading(w *Work, waited time.Duration) {
	if w.unread < readingLeast {
		return
	}
	r := f.readings[w.key]
	if r == nil {
		r = &reading{}
		f.readings[w.key] = r
	}
	r.add(waited, w.unread)
}
