package event

import "log/slog"

// Events 1400 to 1499: distribution of the configuration, and membership.
var (
	ConfigApplied   = define(1400, slog.LevelInfo, "configuration was applied")
	ConfigRejected  = define(1401, slog.LevelError, "configuration could not be applied")
	ConfigStale     = define(1402, slog.LevelWarn, "configuration may be out of date: new work is refused")
	ConfigFresh     = define(1403, slog.LevelInfo, "configuration is up to date again")
	ConfigOutage    = define(1404, slog.LevelWarn, "table is unreachable from most entry nodes; work continues")
	ConfigReader    = define(1405, slog.LevelInfo, "node reads the table for its failure domain")
	ConfigFollower  = define(1406, slog.LevelInfo, "node pulls the configuration from a peer")
	ConfigReadError = define(1407, slog.LevelWarn, "head of the configuration could not be read")
	ListRejected    = define(1408, slog.LevelWarn, "VM list of a peer could not be applied")
	ListUnreadable  = define(1409, slog.LevelWarn, "entries of the VM list cannot be decoded; they are ignored")
	MemberLeaving   = define(1420, slog.LevelInfo, "VM is leaving")
	MemberSuspect   = define(1421, slog.LevelWarn, "VM is unreachable")
	MemberLive      = define(1422, slog.LevelInfo, "VM is serving")
)
