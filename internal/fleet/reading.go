package fleet

import "time"

const (
	// readingLeast is how many tokens a prompt has to have at least to tell how fast a
	// model reads: of shorter ones the wait and the first step are most.
	readingLeast = 4000
	// readingQuantile is the running quantile that counts as the time of reading alone,
	// without a wait.
	readingQuantile = 0.2
	// readingStep bounds by which part an attempt moves it.
	readingStep = 0.15
	// attentionTokens is the length of a prompt whose tokens take twice as long to read
	// as a short one's: each looks at all before it.
	attentionTokens = 110_000
)

// reading is how fast the engines of a service read prompts for one model.
type reading struct {
	// perToken is the time in seconds for a token, without a wait; 0 if it is not known.
	perToken float64
	// wait is the usual time in seconds beyond the reading.
	wait  float64
	count int
}

// add takes the time until an answer to a prompt of some tokens began.
func (r *reading) add(took time.Duration, tokens float64) {
	if tokens < readingLeast {
		return
	}
	r.count++
	step := max(readingStep, 1/float64(r.count))
	one := took.Seconds() / effectiveTokens(tokens)
	switch {
	case r.perToken == 0:
		r.perToken = one
	case one > r.perToken:
		r.perToken = min(r.perToken*(1+step*readingQuantile), one)
	default:
		r.perToken = max(r.perToken/(1+step*(1-readingQuantile)), one)
	}
	r.wait += step * (max(took.Seconds()-r.perToken*effectiveTokens(tokens), 0) - r.wait)
}

// effectiveTokens is how many tokens of a short prompt take as long to read.
func effectiveTokens(tokens float64) float64 { return tokens * (1 + tokens/attentionTokens) }

// FirstEvent is how long an attempt probably takes until its answer begins, at an upstream
// that has cached what all nodes send there; 0 where that is not known.
func (f *Fleet) FirstEvent(w *AttemptSpec, now time.Time) time.Duration {
	r := f.readings[delayKey{w.Service, w.Model}]
	if r == nil || r.perToken == 0 {
		return 0
	}
	tokens := max(float64(w.Tokens)-holderKeeps*float64(sharedTokens(w)), leastTokens)
	return time.Duration((r.perToken*effectiveTokens(tokens) + r.wait) * float64(time.Second))
}

// unread is how many of a long prompt's tokens u probably has not cached; 0 for a short
// one, of which nothing is learned.
func (f *Fleet) unread(u *Upstream, w *AttemptSpec, now time.Time) float64 {
	if w.Tokens < readingLeast {
		return 0
	}
	return float64(w.Tokens) - f.kept(u, w, holders(w, f.able(w, now)), now)
}

// read notes how long an attempt took until its answer began.
func (f *Fleet) read(w *Work, now time.Time) {
	r := f.readings[w.key]
	if r == nil {
		r = &reading{}
		f.readings[w.key] = r
	}
	r.add(now.Sub(w.sentAt), w.tokens)
}
