package event

import "log/slog"

// Events 1100 to 1199: the stand-in of the platform.
var (
	PlatformServing        = define(1100, slog.LevelInfo, "stand-in platform is serving")
	PlatformClosed         = define(1101, slog.LevelInfo, "stand-in platform is closed")
	PlatformServeFailed    = define(1102, slog.LevelError, "stand-in platform stopped serving a port")
	PlatformFaultsChanged  = define(1103, slog.LevelWarn, "stand-in platform's faults were changed")
	PlatformLimitsChanged  = define(1104, slog.LevelWarn, "stand-in platform's limits were changed")
	PlatformQualityChanged = define(1105, slog.LevelWarn, "stand-in platform's true quality of a version was changed")
)
