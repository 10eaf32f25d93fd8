package event

import "log/slog"

// Events 1600 to 1699: upstream selection, retries, and requests suspected of crashing upstreams.
var (
	BreakerOpened    = define(1600, slog.LevelWarn, "upstream's breaker opened")
	BreakerClosed    = define(1601, slog.LevelInfo, "upstream's breaker closed")
	UpstreamEjected  = define(1602, slog.LevelWarn, "upstream is slow and gets few requests")
	PoolShort        = define(1604, slog.LevelWarn, "no upstream can take the request")
	RetryBudgetSpent = define(1612, slog.LevelWarn, "retry budget is exhausted; the request is not retried")
	RequestFailed    = define(1613, slog.LevelWarn, "request ended without an answer")
	UpstreamCrashed  = define(1620, slog.LevelWarn, "upstream crashed; its running requests are suspected")
	SuspectRunsAlone = define(1621, slog.LevelInfo, "suspected request runs alone")
	SuspectRefused   = define(1622, slog.LevelWarn, "suspected request was refused")
	SuspectUnknown   = define(1624, slog.LevelWarn, "request was refused: peers did not answer whether it crashes upstreams")
	SuspectConvicted = define(1623, slog.LevelError, "request was found to crash upstreams")

	CrashRecordRead    = define(1625, slog.LevelInfo, "record of crashes was read from the platform's table")
	CrashRecordWritten = define(1626, slog.LevelInfo, "record of crashes was written to the platform's table")
	CrashRecordFailed  = define(1627, slog.LevelWarn, "record of crashes in the platform's table can't be used or written yet")
)
