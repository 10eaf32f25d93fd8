package scenario

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
	platformFault
	platformOutage
	presetChanged
	strikeKinds
)

var strikeNames = [strikeKinds]string{
	"entry killed", "entry stopped", "entry frozen", "link cut", "link slow", "engine killed", "engine fault",
	"service fault", "platform fault", "platform outage", "preset changed",
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
