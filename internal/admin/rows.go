package admin

import (
	"fmt"
	"strconv"
	"time"
)

// HeadKey is the key of the head row, which orders the revisions.
const HeadKey = "config/head"

const (
	logPrefix    = "config/log/"
	changePrefix = "config/change/"
)

// Head is the value of the head row. Revision 0 means that no configuration is stored.
type Head struct {
	Revision uint64 `json:"revision"`
	Preset   string `json:"preset"`
	// Writer is the id of the change that made the revision.
	Writer string `json:"writer"`
}

// Record is the log entry of one accepted change.
type Record struct {
	Revision uint64 `json:"revision"`
	Base     uint64 `json:"base"`
	// Change is the id of the change.
	Change   string    `json:"change"`
	Operator string    `json:"operator"`
	Preset   string    `json:"preset"`
	At       time.Time `json:"at"`
	// Digest distinguishes the change from another change that is sent with the same id.
	Digest string `json:"digest"`
}

// changeRow is the value of a change's row. It refers to the change's record in the log.
type changeRow struct {
	Revision uint64 `json:"revision"`
}

// DocKey returns the key of the row that holds a revision's document.
func DocKey(revision uint64) string { return "config/doc/" + strconv.FormatUint(revision, 10) }

// logKey returns the key of a revision's record. Keys sort in the order of revisions.
func logKey(revision uint64) string { return fmt.Sprintf("%s%020d", logPrefix, revision) }

func changeKey(id string) string { return changePrefix + id }
