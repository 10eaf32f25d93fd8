package crashguard

import "time"

// State is what a guard holds a key to be.
type State int

const (
	// Cleared is the state of a key whose requests run.
	Cleared State = iota
	// Quarantined is that of a key whose requests run one at a time.
	Quarantined
	// Convicted is that of a key whose requests are refused, except for a few trials.
	Convicted
)

// Verdict is a change of what is known of a key.
type Verdict struct {
	Key   Key
	State State
	// Strikes are the crashes that count against the key, Cleared those that did until a
	// request with it was answered.
	Strikes, Cleared int
	Trials           int
}

// maxVerdicts bounds the changes that wait to be taken.
const maxVerdicts = 64

func (g *Guard) noteVerdict(e *entry, state State) {
	if len(g.verdicts) < maxVerdicts {
		g.verdicts = append(g.verdicts, Verdict{Key: e.key, State: state, Strikes: e.live().size(), Cleared: e.cleared.size(), Trials: e.trials})
	}
}

// TakeVerdicts returns the changes since the last call, at most 64.
func (g *Guard) TakeVerdicts(now time.Time) []Verdict {
	g.judge(now)
	taken := g.verdicts
	g.verdicts = nil
	return taken
}

// CountQuarantined returns the number of quarantined keys.
func (g *Guard) CountQuarantined() int { return len(g.quarantined) }

// CountConvicted returns the number of convicted keys.
func (g *Guard) CountConvicted() int { return len(g.convicted) }
