package share

import (
	"bytes"
	"context"
	"encoding/gob"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/choice/quality"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// qualityPrefix is the prefix of the keys of archived cells.
const qualityPrefix = "quality/"

// archive writes the group's cells of the versions that this node collects to the table.
// It reads those that other groups wrote, and those that this group wrote before its
// nodes were replaced.
type archive struct {
	deps Deps

	mu      sync.Mutex
	tracked map[string]*archivedVersion
}

// archivedVersion is the archive's state of one version.
type archivedVersion struct {
	restored   bool
	rowVersion uint64 // version of the group's own row in the table
}

func newArchive(d Deps) *archive { return &archive{deps: d, tracked: map[string]*archivedVersion{}} }

// track begins to archive a version that this node now collects.
func (a *archive) track(version string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tracked[version] = new(archivedVersion)
}

// exchange reads and writes the rows of all tracked versions. Table errors are ignored:
// the next call retries.
func (a *archive) exchange(ctx context.Context, now time.Time) {
	g := newGroup(a.deps.Self, a.deps.Members())
	for version, s := range a.ownVersions(g) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		if a.read(ctx, g, version, s) == nil {
			a.write(ctx, g, version, s, now)
		}
		cancel()
	}
}

// ownVersions returns the versions that this node still collects, and drops the others.
func (a *archive) ownVersions(g group) map[string]*archivedVersion {
	a.mu.Lock()
	defer a.mu.Unlock()
	own := map[string]*archivedVersion{}
	for version, s := range a.tracked {
		if g.collector(version).ID == a.deps.Self.ID {
			own[version] = s
		} else {
			delete(a.tracked, version)
		}
	}
	return own
}

// read merges the rows of all groups. The group's own row is restored only once, after
// this node became the collector: later it contains only what this node wrote.
func (a *archive) read(ctx context.Context, g group, version string, s *archivedVersion) error {
	prefix := qualityPrefix + version + "/"
	rows, err := a.deps.Table.Scan(ctx, prefix, "", maxScanRows)
	if err != nil {
		return err
	}
	for _, row := range rows {
		cells, err := decodeCells(row.Value)
		if err != nil {
			continue // skipped: the collector of its group is to overwrite it
		}
		name := strings.TrimPrefix(row.Key, prefix)
		if name != g.name {
			sum := quality.Summary{Node: "group/" + name, Seq: row.Version, Cells: cells}
			a.deps.Chooser.Merge(choice.Summary{Summary: sum}, time.Now())
			continue
		}
		s.rowVersion = row.Version
		if !s.restored {
			a.deps.Chooser.Restore(version, cells)
		}
	}
	s.restored = true
	return nil
}

// write replaces the group's row. If another node that considers itself the collector has
// written it since, the commit fails, and the next read updates the row version.
func (a *archive) write(ctx context.Context, g group, version string, s *archivedVersion, now time.Time) {
	cells := a.deps.Chooser.Archive(version, now)
	if len(cells) == 0 {
		return
	}
	key := qualityPrefix + version + "/" + g.name
	_, _ = a.deps.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: s.rowVersion}},
		Writes:     []platform.Write{{Key: key, Value: encodeCells(cells)}},
	})
}

func encodeCells(cells []quality.Entry) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(cells); err != nil {
		panic(err) // plain values always encode
	}
	return b.Bytes()
}

func decodeCells(value []byte) ([]quality.Entry, error) {
	var cells []quality.Entry
	err := gob.NewDecoder(bytes.NewReader(value)).Decode(&cells)
	return cells, eris.Wrap(err, "decode quality row")
}
