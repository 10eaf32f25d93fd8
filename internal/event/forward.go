package event

import "log/slog"

// Events 1900 to 1999: forwarded requests, upstreams that register themselves,
// and what nodes tell each other.
var (
	ForwardStarted    = define(1900, slog.LevelInfo, "gateway is serving")
	ForwardStopping   = define(1901, slog.LevelInfo, "gateway is stopping")
	ForwardStopped    = define(1902, slog.LevelInfo, "gateway has stopped")
	ForwardCut        = define(1904, slog.LevelWarn, "stop's grace is over; work under way was cut off")
	ForwardReloaded   = define(1903, slog.LevelInfo, "settings were read again")
	ForwardAnswered   = define(1910, slog.LevelInfo, "forwarded request was answered")
	ForwardRefused    = define(1911, slog.LevelInfo, "forwarded request was refused; it has not run")
	ForwardFailed     = define(1912, slog.LevelWarn, "forwarded request failed; it may have run")
	ForwardLeft       = define(1913, slog.LevelInfo, "caller left before its answer")
	ForwardBroken     = define(1914, slog.LevelWarn, "answer was broken off")
	ForwardAttempt    = define(1920, slog.LevelInfo, "attempt did not serve")
	ForwardEscalated  = define(1921, slog.LevelInfo, "smaller model was unsure; a larger one answers")
	ForwardResumed    = define(1922, slog.LevelInfo, "stream goes on at another upstream")
	ForwardStrike     = define(1923, slog.LevelWarn, "upstream crashed while it ran a request")
	ForwardUnsure     = define(1924, slog.LevelInfo, "smaller model was unsure; its answer is kept, as the retry budget is short")
	FleetChanged      = define(1930, slog.LevelInfo, "upstream's record changed")
	FleetGone         = define(1931, slog.LevelInfo, "upstream is no longer listed")
	FleetKept         = define(1932, slog.LevelWarn, "upstreams vanished while the table was away; they are kept for a while")
	RowUnreadable     = define(1933, slog.LevelWarn, "table's row can't be read; it counts for nothing")
	TableApplied      = define(1940, slog.LevelInfo, "routes were applied")
	TableRejected     = define(1941, slog.LevelError, "routes could not be read; the former ones stay")
	SourceLost        = define(1942, slog.LevelWarn, "platform's table does not answer")
	SourceBack        = define(1943, slog.LevelInfo, "platform's table answers again")
	PeerChanged       = define(1950, slog.LevelInfo, "peer's state changed")
	PeerLost          = define(1951, slog.LevelInfo, "peer does not answer")
	VersionOrdered    = define(1960, slog.LevelInfo, "roll-out of a version was ordered")
	VersionDecided    = define(1961, slog.LevelInfo, "roll-out of a version was decided")
	VersionShifts     = define(1964, slog.LevelInfo, "all sessions go to the new version")
	VersionRecorded   = define(1962, slog.LevelInfo, "roll-out's state was recorded")
	VersionUnrecorded = define(1963, slog.LevelWarn, "roll-out's state could not be recorded yet")
	LogLinesDropped   = define(1970, slog.LevelWarn, "log lines were dropped")
)
