package telemetry

// Bounds limit the cardinality of labels: how many label values get series of their
// own. Zero fields take the defaults.
type Bounds struct {
	// Requests bounds the pairs of organisation and class.
	Requests int
	// Versions bounds the model versions.
	Versions int
	// Codes bounds the failure codes.
	Codes int
	// Refusals bounds the triples of organisation, class and reason.
	Refusals int
}

// Defaults of the fields of [Bounds]. They exceed the needs of ten organisations with
// six classes several times over.
const (
	DefaultRequests = 512
	DefaultVersions = 128
	DefaultCodes    = 64
	DefaultRefusals = 1024
)

func (b Bounds) withDefaults() Bounds {
	if b.Requests == 0 {
		b.Requests = DefaultRequests
	}
	if b.Versions == 0 {
		b.Versions = DefaultVersions
	}
	if b.Codes == 0 {
		b.Codes = DefaultCodes
	}
	if b.Refusals == 0 {
		b.Refusals = DefaultRefusals
	}
	return b
}

// otherLabel is the label value under which everything beyond a bound counts.
const otherLabel = "other"
