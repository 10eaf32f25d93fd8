package event

import "log/slog"

// Events 1300 to 1399: claims and bills.
var (
	LedgerStarted      = define(1300, slog.LevelInfo, "ledger has started")
	LedgerStopped      = define(1301, slog.LevelInfo, "ledger has stopped")
	LedgerFlushFailed  = define(1302, slog.LevelError, "ledger stopped with bills that no store has accepted")
	LedgerRowMalformed = define(1303, slog.LevelError, "a claim log has a row that cannot be read; its keys are refused")
	LedgerReadFailed   = define(1304, slog.LevelWarn, "a claim log could not be read")
	LedgerTableDown    = define(1305, slog.LevelWarn, "table does not accept bills; they go to the object store or to peers")
	LedgerTableBack    = define(1306, slog.LevelInfo, "bills go to the table again")
	LedgerAdopted      = define(1307, slog.LevelWarn, "bills of an unresponsive process were taken over")
	LedgerUnsafe       = define(1308, slog.LevelError, "bills could not be made safe in time")
	LedgerRejected     = define(1309, slog.LevelError, "a settlement was rejected: its attempt does not hold the key")
	LedgerSettled      = define(1310, slog.LevelInfo, "a bucket of bills was settled")
	LedgerJanitorLate  = define(1311, slog.LevelWarn, "clean-up of old claims or bills failed")
	LedgerPruned       = define(1314, slog.LevelInfo, "old rows of bills were moved from the table to the object store")
	LedgerFolded       = define(1313, slog.LevelInfo, "small objects of bills were folded into one")
	LedgerAtRisk       = define(1315, slog.LevelError, "bills cannot be made safe: new work is refused until they are")
	LedgerSafeAgain    = define(1316, slog.LevelInfo, "all bills are safe: new work is admitted")
	LedgerDiverts      = define(1318, slog.LevelWarn, "both stores fail here: other collectors of the failure domain make bills safe")
	LedgerCollects     = define(1319, slog.LevelInfo, "a store responds again: bills are collected here")
	AnswerUnbilled     = define(1317, slog.LevelError, "an answer's bill could not be made safe: its caller was told that the outcome is unknown")
	LedgerPeerSuspect  = define(1312, slog.LevelWarn, "a peer does not respond to the ledger; others are used for a while")
)
