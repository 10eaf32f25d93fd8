package fleet

import "time"

const (
	// minPrefillTokens is the minimum length of a prompt that is used to measure prefill
	// speed. For shorter ones, queueing and the first decoding step dominate the time.
	minPrefillTokens = 4000
	// prefillQuantile is the running quantile of the times per token that counts as the
	// prefill time without queueing.
	prefillQuantile = 0.2
	// prefillStep is the step of the running quantile, relative to the estimate.
	prefillStep = 0.15
	// attentionDoublingTokens is the prompt length at which the mean prefill time per token
	// is twice that of a short prompt, because each token attends to all earlier ones.
	attentionDoublingTokens = 110_000
)

// prefillEstimate is the prefill speed of a service's upstreams for one model.
type prefillEstimate struct {
	// perToken is the prefill time per token of a short prompt in seconds, without
	// queueing; 0 if it is unknown.
	perToken float64
	// extraWait is the mean time in seconds beyond the prefill.
	extraWait float64
	count     int
}

// observe adds the time until the response to a prompt with the given uncached tokens
// started.
func (e *prefillEstimate) observe(took time.Duration, tokens float64) {
	if tokens < minPrefillTokens {
		return
	}
	e.count++
	step := max(prefillStep, 1/float64(e.count))
	sample := took.Seconds() / effectiveTokens(tokens)
	switch {
	case e.perToken == 0:
		e.perToken = sample
	case sample > e.perToken:
		e.perToken = min(e.perToken*(1+step*prefillQuantile), sample)
	default:
		e.perToken = max(e.perToken/(1+step*(1-prefillQuantile)), sample)
	}
	e.extraWait += step * (max(took.Seconds()-e.perToken*effectiveTokens(tokens), 0) - e.extraWait)
}

// effectiveTokens returns the number of a short prompt's tokens that take the same time to
// prefill.
func effectiveTokens(tokens float64) float64 { return tokens * (1 + tokens/attentionDoublingTokens) }

// TimeToFirstEvent returns the expected time until the response starts, at an upstream with
// the usual prefix cache; 0 if it is unknown.
func (f *Fleet) TimeToFirstEvent(spec *AttemptSpec, now time.Time) time.Duration {
	r := f.prefillEstimates[workloadKey{spec.Service, spec.Model}]
	if r == nil || r.perToken == 0 {
		return 0
	}
	tokens := max(float64(spec.Tokens)-affinityCachedShare*float64(prefixTokens(spec)), minTokens)
	return time.Duration((r.perToken*effectiveTokens(tokens) + r.extraWait) * float64(time.Second))
}

// uncachedTokens returns the number of a prompt's tokens that u probably has to prefill. It
// is 0 for prompts too short to measure.
func (f *Fleet) uncachedTokens(u *Upstream, spec *AttemptSpec, now time.Time) float64 {
	if spec.Tokens < minPrefillTokens {
		return 0
	}
	return float64(spec.Tokens) - f.expectedKept(u, spec, now)
}

// observePrefill records the time until an attempt's response started.
func (f *Fleet) observePrefill(w *Work, now time.Time) {
	e := f.prefillEstimates[w.key]
	if e == nil {
		e = &prefillEstimate{}
		f.prefillEstimates[w.key] = e
	}
	e.observe(now.Sub(w.sentAt), w.uncachedTokens)
}
