package choice

import (
	"github.com/hickorybank/hickorybank/internal/choice/detect"
	"github.com/hickorybank/hickorybank/internal/choice/quality"
)

// Summary is what one run of one node has seen, for its peers. It is
// cumulative: merging it again, or an older one of the same run, changes
// nothing.
type Summary struct {
	quality.Summary
	Evidence []VersionEvidence
}

// VersionEvidence is all evidence against one version that a run has seen in
// one term of holds. A lifted hold begins a new term, and evidence from before
// counts no more.
type VersionEvidence struct {
	Version string
	Term    uint64
	detect.Evidence
}
