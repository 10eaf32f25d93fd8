package choice

import (
	"github.com/hickorybank/hickorybank/internal/choice/detect"
	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

// Summary holds the cells and the evidence that one run has observed, for its peers. It
// is cumulative: merging it again, or an older one of the same run, changes nothing.
type Summary struct {
	quality.Summary
	Evidence []VersionEvidence
}

// VersionEvidence is the evidence against one version that a run has observed in one
// term. Lifting a hold starts a new term, and earlier evidence no longer counts.
type VersionEvidence struct {
	Version string
	Term    uint64
	detect.Evidence
}
