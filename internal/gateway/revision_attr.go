package gateway

import (
	"log/slog"

	"github.com/hickorybank/hickorybank/internal/revision"
)

// revisionAttr returns the log attribute of a revision: its version in the table.
func revisionAttr(r revision.Revision) slog.Attr { return slog.Uint64("revision", r.Version()) }
