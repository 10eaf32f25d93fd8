package event

import "log/slog"

// Events 1100 to 1199: the platform, its client and its stand-in.
var (
	PlatformServing     = define(1100, slog.LevelInfo, "stand-in platform is serving")
	PlatformClosed      = define(1101, slog.LevelInfo, "stand-in platform is closed")
	PlatformServeFailed = define(1102, slog.LevelError, "stand-in platform stopped serving a port")
)
