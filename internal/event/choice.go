package event

import "log/slog"

// Events 1500 to 1599: choice of model versions, their exposure and holds.
var (
	VersionHeld       = define(1500, slog.LevelError, "version turned bad and is held")
	HoldLearned       = define(1501, slog.LevelWarn, "version is held; another node found it bad")
	HoldEnded         = define(1502, slog.LevelInfo, "version's hold was lifted")
	ClassStranded     = define(1503, slog.LevelError, "all versions for a class are held; the least bad one stays in use")
	HoldRowBroken     = define(1504, slog.LevelError, "rows of versions' holds cannot be read; the other holds count")
	ExposureOpened    = define(1510, slog.LevelInfo, "staged version's ratings have arrived and are good; its exposure cap is lifted")
	ExposureRowBroken = define(1511, slog.LevelError, "row of a staged version's exposure cannot be read")
)
