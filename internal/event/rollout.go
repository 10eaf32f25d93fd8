package event

import "log/slog"

// Events 1800 to 1899: rollouts.
var (
	RolloutHolding   = define(1800, slog.LevelInfo, "node drives the roll-outs")
	RolloutYielded   = define(1801, slog.LevelInfo, "node no longer drives the roll-outs")
	RolloutOrder     = define(1802, slog.LevelInfo, "engine was ordered to load or unload a version")
	RolloutOrderFail = define(1803, slog.LevelWarn, "order to an engine failed")
	RolloutStale     = define(1804, slog.LevelWarn, "engine refused an order with an old fencing number")
	RolloutRowBad    = define(1805, slog.LevelError, "row of the roll-outs cannot be read")
	RolloutStage     = define(1806, slog.LevelInfo, "version reached another stage of its roll-out")
)
