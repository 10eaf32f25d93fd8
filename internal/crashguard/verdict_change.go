package crashguard

import "time"

// Verdict is a change of what is known of a key.
type Verdict struct {
	Key       Key
	Convicted bool
	// Strikes are the crashes that count against the key, Cleared those that did until a
	// request with it was answered.
	Strikes, Cleared int
	Trials           int
}

// maxVerdicts bounds the changes that wait to be taken.
const maxVerdicts = 64

func (g *Guard) noteVerdict(e *entry, convicted bool) {
	if len(g.verdicts) < maxVerdicts {
		g.verdicts = append(g.verdicts, Verdict{Key: e.key, Convicted: convicted, Strikes: e.live().size(), Cleared: e.cleared.size(), Trials: e.trials})
	}
}

// TakeVerdicts returns the changes since the last call, at most 64.
func (g *Guard) TakeVerdicts(now time.Time) []Verdict {
	g.judge(now)
	taken := g.verdicts
	g.verdicts = nil
	return taken
}

// CountConvicted returns the number of convicted keys.
func (g *Guard) CountConvicted() int { return len(g.convicted) }
