package event

import "log/slog"

// Events 1200 to 1299: stand-in upstreams and engines.
var (
	StandinListening = define(1200, slog.LevelInfo, "stand-in upstream is listening")
	StandinClosed    = define(1201, slog.LevelInfo, "stand-in upstream has closed")
	StandinCrashed   = define(1202, slog.LevelWarn, "stand-in upstream crashed on a marked request")
	StandinRestarted = define(1203, slog.LevelInfo, "stand-in upstream has restarted")
	StandinFaults    = define(1204, slog.LevelInfo, "stand-in upstream's faults were changed")
	StandinOrder     = define(1205, slog.LevelInfo, "stand-in engine accepted an order")
	StandinStale     = define(1206, slog.LevelWarn, "stand-in engine refused a stale order")
	StandinServeFail = define(1207, slog.LevelError, "stand-in upstream stopped serving")
	StandinLoadFail  = define(1208, slog.LevelWarn, "stand-in engine could not load a version")
)
