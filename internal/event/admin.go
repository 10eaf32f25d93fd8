package event

import "log/slog"

// Events 1700 to 1799: operators' requests to the administration interface.
var (
	ConfigurationAccepted = define(1700, slog.LevelInfo, "configuration change was accepted")
	AdminRefused          = define(1701, slog.LevelInfo, "operator's request was refused")
	AdminFailed           = define(1702, slog.LevelError, "operator's request failed at the platform's store")
	AdminUnauthorised     = define(1703, slog.LevelWarn, "administration interface was called without an operator's key")
	HoldLifted            = define(1704, slog.LevelInfo, "operator lifted a version's hold")
	CrashesPardoned       = define(1705, slog.LevelWarn, "operator pardoned a request or a message under which upstreams crashed")
)
