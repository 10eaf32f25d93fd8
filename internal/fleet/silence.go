package fleet

import "time"

// silence is what a node knows of an upstream of a plain service that accepts attempts and
// does not answer.
//
// An upstream that hangs drains as its callers give up, and looks idle then. Without a memory
// of the silence, all nodes return to it together, again and again.
type silence struct {
	// signs is the number of signs of silence since the last answer, seenAt the time of the
	// latest one.
	signs  int
	seenAt time.Time
	// crowdedRound is the latest round of in-flight attempts in which it was crowded.
	crowdedRound uint64
}

const (
	// silenceSigns is the number of signs from which an upstream is silent. A single slow
	// answer only raises its cost: a burst would otherwise drive all nodes from one sound
	// upstream to the next.
	silenceSigns = 2
	// doubtHold is how long a single sign counts, doubtPenalty the relative increase in cost.
	doubtHold    = time.Second
	doubtPenalty = 2.0
	// silenceHold is how long a silent upstream is avoided by all attempts.
	silenceHold = 4 * time.Second
	// silenceProbation is how long it is avoided by attempts that may run once only. Attempts
	// that may be repeated find out meanwhile whether it answers.
	silenceProbation = 8 * time.Second
	// silencePenalty is the relative increase in cost. It is no gate: when the other upstreams
	// are overloaded, or all are silent, each still gets work.
	silencePenalty = 15.0
	// silenceContrast is how many times more attempts wait at a silent upstream than at the
	// mean of the others.
	silenceContrast = 3.0
	// crowdedShare is the number of attempts without an answer from which an upstream counts as
	// crowded, relative to its slots. A burst at a sound upstream is over by the next round.
	crowdedShare = 1.5
)

// penalty returns the relative increase in the cost of an attempt.
func (s *silence) penalty(once bool, now time.Time) float64 {
	age := now.Sub(s.seenAt)
	switch {
	case s.signs == 0:
		return 0
	case s.signs < silenceSigns:
		if age < doubtHold {
			return doubtPenalty
		}
	case age < silenceHold || once && age < silenceProbation:
		return silencePenalty
	}
	return 0
}

// note records signs of silence; it reports whether the upstream was not silent before.
func (s *silence) note(signs int, now time.Time) (first bool) {
	silent := s.isSilent(now)
	if !silent && now.Sub(s.seenAt) >= doubtHold {
		s.signs = 0
	}
	s.signs, s.seenAt = min(s.signs+signs, silenceSigns), now
	return !silent && s.isSilent(now)
}

// isSilent reports whether attempts that may run once only avoid the upstream.
func (s *silence) isSilent(now time.Time) bool {
	return s.signs >= silenceSigns && now.Sub(s.seenAt) < silenceProbation
}

// NoteSilent records that an attempt at u has waited far longer than usual for its answer; it is
// called again when it has waited twice as long. It reports whether the upstream has become
// silent by that.
func (f *Fleet) NoteSilent(u *Upstream, w *Work, now time.Time) (first bool) {
	if !w.plain {
		return false
	}
	if w.silent {
		f.observeLost(u, w, now)
	}
	w.silent = true
	return u.use().silence.note(1, now)
}

// noteCrowded records upstreams of plain services as silent that were crowded in the latest two
// rounds of in-flight attempts, while few waited at the others.
func (f *Fleet) noteCrowded(mentioned []*Upstream, now time.Time) {
	var pending map[string]float64
	for _, u := range mentioned {
		if f.plain[u.Service] != nil {
			if pending == nil {
				pending = map[string]float64{}
			}
			pending[u.Service] += u.pendingNow()
		}
	}
	for _, u := range mentioned {
		here, others := u.pendingNow(), len(f.services[u.Service].all())-1
		if f.plain[u.Service] == nil || others <= 0 || here < crowdedShare*float64(u.Slots) {
			continue
		}
		if here <= silenceContrast*(pending[u.Service]-here)/float64(others) {
			continue
		}
		u.use()
		if r := u.silence.crowdedRound; r > 0 && r == f.flights.number-1 {
			u.silence.note(silenceSigns, now)
		}
		u.silence.crowdedRound = f.flights.number
	}
}

// pendingNow returns the work of all nodes' attempts there that have no answer yet.
func (u *Upstream) pendingNow() float64 { return u.pendingWork + u.othersPendingNow() }

// IsSilent reports whether attempts that may run once only avoid the upstream.
func (f *Fleet) IsSilent(u *Upstream, now time.Time) bool { return u.silence.isSilent(now) }
