package admin

import (
	"fmt"
	"strconv"
	"time"
)

// HeadKey is the row that decides the order of configurations.
const HeadKey = "config/head"

const (
	logPrefix    = "config/log/"
	changePrefix = "config/change/"
)

// Head is the value of the head row.
type Head struct {
	Revision uint64 `json:"revision"`
	Preset   string `json:"preset"`
	// Writer is the id of the change that made the revision.
	Writer string `json:"writer"`
}

// Record is the log's entry of one accepted change.
type Record struct {
	Revision uint64 `json:"revision"`
	Base     uint64 `json:"base"`
	// Change is the id of the change.
	Change   string    `json:"change"`
	Operator string    `json:"operator"`
	Preset   string    `json:"preset"`
	At       time.Time `json:"at"`
	// Digest tells a change from another one that was sent under its id.
	Digest string `json:"digest"`
}

// pointer is the value of a change's row: where its record is.
type pointer struct {
	Revision uint64 `json:"revision"`
}

// DocKey is the row of a revision's document.
func DocKey(revision uint64) string { return "config/doc/" + strconv.FormatUint(revision, 10) }

// logKey sorts by revision.
func logKey(revision uint64) string { return fmt.Sprintf("%s%020d", logPrefix, revision) }

func changeKey(id string) string { return changePrefix + id }
