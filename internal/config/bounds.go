package config

import "math"

// Bounds of a document. They keep a document within one row of the platform's table and its
// snapshot within a node's memory. They also keep the metrics page small, since names become labels.
const (
	// MaxDocumentBytes bounds a document in compact JSON. It is the largest size of a row of the
	// platform's table.
	MaxDocumentBytes = 1 << 20
	// MaxPresets is the most presets of a document.
	MaxPresets = 32
	// MaxClasses is the most classes of a document.
	MaxClasses = 64
	// MaxModels is the most models of a document.
	MaxModels = 256
	// MaxVersions is the most versions of all models together.
	MaxVersions = 1024
	// MaxServices is the most plain services of a document.
	MaxServices = 64
	// MaxCalls is the most calls of one service.
	MaxCalls = 256
	// MaxOrganisations is the most organisations of a document.
	MaxOrganisations = 4096
	// MaxKeyHashes is the most keys of one organisation.
	MaxKeyHashes = 16
	// MaxName is the longest name, in bytes.
	MaxName = 64
	// MaxPath is the longest path prefix of a call, in bytes.
	MaxPath = 256
	// MaxDeadlineMillis is the longest deadline of a class: one day, in milliseconds.
	MaxDeadlineMillis = 24 * 60 * 60 * 1000
	// MaxCost is the highest price, in micro-units. It keeps cost times tokens within 64 bits.
	MaxCost = 1_000_000_000_000
	// MaxExposureCap is the highest [Version.ExposureCap], in unrated answers.
	MaxExposureCap = 1_000_000
	// MaxWeight is the highest [Organisation.Weight].
	MaxWeight = 1e6
	// MaxRatePerSecond is the highest [Organisation.RatePerSecond].
	MaxRatePerSecond = 1e9
)

// maxFaults is how many faults of one document are reported.
const maxFaults = 200

func isFinite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }
