package event

import "log/slog"

// Events 1000 to 1099: start and stop of a process.
var (
	ProcessReady    = define(1000, slog.LevelInfo, "process is ready")
	ProcessStopping = define(1001, slog.LevelInfo, "process is stopping")
	ProcessStopped  = define(1002, slog.LevelInfo, "process has stopped")
	ProcessFailed   = define(1003, slog.LevelError, "process failed")
)
