package scenario

import "math/rand/v2"

// strikeKind is a kind of fault.
type strikeKind int

const (
	entryKilled strikeKind = iota
	entryStopped
	entryFrozen
	linkCut
	linkSlow
	engineKilled
	engineFault
	serviceFault
	serviceKilled
	platformFault
	platformOutage
	presetChanged
	strikeKinds
)

var strikeNames = [strikeKinds]string{
	"entry killed", "entry stopped", "entry frozen", "link cut", "link slow", "engine killed", "engine fault",
	"service fault", "service killed", "platform fault", "platform outage", "preset changed",
}

// strikeWeights say how often a kind comes, against the others.
var strikeWeights = [strikeKinds]int{
	entryKilled: 5, entryStopped: 1, entryFrozen: 3, linkCut: 2, linkSlow: 1, engineKilled: 2, engineFault: 5,
	serviceFault: 4, serviceKilled: 2, platformFault: 4, platformOutage: 2, presetChanged: 1,
}

// drawKind draws a kind by its weight.
func drawKind(rng *rand.Rand) strikeKind {
	sum := 0
	for _, w := range strikeWeights {
		sum += w
	}
	n := rng.IntN(sum)
	for k, w := range strikeWeights {
		if n -= w; n < 0 {
			return strikeKind(k)
		}
	}
	panic("the weights do not sum up")
}

func (k strikeKind) String() string { return strikeNames[k] }

// jsonFault is a setting of a fault port and the one that ends it.
type jsonFault struct {
	set, clear string
}

var engineFaults = []jsonFault{
	{`{"cut_streams":5,"cut_after":2}`, `{"cut_streams":0}`},
	{`{"cross_streams":5}`, `{"cross_streams":0}`},
	{`{"slow_factor":20}`, `{"slow_factor":1}`},
	{`{"frozen":true}`, `{"frozen":false}`},
	{`{"leaving":true}`, `{"leaving":false}`},
	{`{"down":true}`, `{"down":false}`},
	{`{"bad_versions":[{"version":"dues@1","error_rate":0.5}]}`, `{"bad_versions":[]}`},
}

var serviceFaults = []jsonFault{
	{`{"lose_answers":5}`, `{"lose_answers":0}`},
	{`{"delay_ms":300}`, `{"delay_ms":0}`},
	{`{"frozen":true}`, `{"frozen":false}`},
	{`{"down":true}`, `{"down":false}`},
	{`{"leaving":true}`, `{"leaving":false}`},
}

const platformClear = `{"table":{},"objects":{},"vms":{},"rating":{}}`

var platformFaults = []string{
	`{"table":{"lose_ack_fraction":0.3},"objects":{"lose_ack_fraction":0.3}}`,
	`{"table":{"lose_acks":10}}`,
	`{"table":{"delay_ms":400}}`,
	`{"table":{"refuse_fraction":0.3,"drop_fraction":0.2}}`,
	`{"table":{"one_way":true}}`,
	`{"table":{"down":true}}`,
	`{"vms":{"down":true}}`,
	`{"rating":{"down":true}}`,
}

const platformDown = `{"table":{"down":true},"objects":{"down":true},"vms":{"down":true},"rating":{"down":true}}`
