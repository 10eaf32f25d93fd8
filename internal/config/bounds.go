package config

import "math"

// Bounds of a document. They keep one document within a row of the platform's
// table, its snapshot within a node's memory, and the labels that its names
// become within a metrics page.
const (
	// MaxDocumentBytes bounds a document in its compact JSON form; it is the
	// size of one row of the platform's table.
	MaxDocumentBytes = 1 << 20
	MaxPresets       = 32
	MaxClasses       = 64
	MaxModels        = 256
	MaxVersions      = 1024 // of all models together
	MaxServices      = 64
	MaxCalls         = 256 // of one service
	MaxOrganisations = 4096
	MaxKeyHashes     = 16 // of one organisation
	// MaxName is the longest name, in bytes.
	MaxName = 64
	// MaxPath is the longest path of a call, in bytes.
	MaxPath = 256
	// MaxDeadlineMillis is a day.
	MaxDeadlineMillis = 24 * 60 * 60 * 1000
	// MaxCost keeps cost times tokens within 64 bits.
	MaxCost = 1_000_000_000_000
	// MaxExposureCap bounds the unrated answers of a staged version.
	MaxExposureCap = 1_000_000
	// MaxWeight bounds an organisation's weight.
	MaxWeight = 1e6
	// MaxRatePerSecond bounds an organisation's rate.
	MaxRatePerSecond = 1e9
)

// maxFaults bounds how many faults are told at once.
const maxFaults = 200

func finite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }
