package telemetry

// Bounds are how many label values are kept apart. Zero fields take defaults.
type Bounds struct {
	// Requests is how many pairs of organisation and class.
	Requests int
	// Versions is how many versions.
	Versions int
	// Codes is how many failure codes.
	Codes int
	// Refusals is how many triples of organisation, class and reason.
	Refusals int
}

// The defaults suit ten organisations with six classes many times over.
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

// other is the label of all that is beyond a bound.
const other = "other"
