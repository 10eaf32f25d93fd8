package scenario

import "math/rand/v2"

// faultKind is a kind of injected fault.
type faultKind int

const (
	entryKilled faultKind = iota
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
	faultKinds
)

var faultNames = [faultKinds]string{
	"entry killed", "entry stopped", "entry frozen", "link cut", "link slow", "engine killed", "engine fault",
	"service fault", "service killed", "platform fault", "platform outage", "preset changed",
}

// faultWeights are the relative frequencies of the kinds.
var faultWeights = [faultKinds]int{
	entryKilled: 5, entryStopped: 1, entryFrozen: 3, linkCut: 2, linkSlow: 1, engineKilled: 2, engineFault: 5,
	serviceFault: 4, serviceKilled: 2, platformFault: 4, platformOutage: 2, presetChanged: 1,
}

// drawKind draws a kind at random by weight.
func drawKind(rng *rand.Rand) faultKind {
	sum := 0
	for _, w := range faultWeights {
		sum += w
	}
	n := rng.IntN(sum)
	for k, w := range faultWeights {
		if n -= w; n < 0 {
			return faultKind(k)
		}
	}
	panic("drawKind: random number exceeds the sum of faultWeights")
}

func (k faultKind) String() string { return faultNames[k] }

// jsonFault is a fault setting of a stand-in and the setting that clears it.
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
