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

const qualityPrefix = "quality/"

// archive writes what the group has seen of the versions that this node
// collects to the table, and reads what other groups wrote, and what this one
// wrote before its nodes were replaced.
type archive struct {
	deps Deps

	mu       sync.Mutex
	versions map[string]*shelf
}

// shelf is the archive's part for one version.
type shelf struct {
	restored bool
	row      uint64 // version of the group's own row
}

func newArchive(d Deps) *archive { return &archive{deps: d, versions: map[string]*shelf{}} }

// want begins to keep a version that this node now collects.
func (a *archive) want(version string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.versions[version] = new(shelf)
}

func (a *archive) exchange(ctx context.Context, now time.Time) {
	g := newGroup(a.deps.Self, a.deps.Members())
	for version, s := range a.collected(g) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		if a.read(ctx, g, version, s) == nil {
			a.write(ctx, g, version, s, now)
		}
		cancel()
	}
}

// collected returns the shelves of the versions that are still this node's.
func (a *archive) collected(g group) map[string]*shelf {
	a.mu.Lock()
	defer a.mu.Unlock()
	mine := map[string]*shelf{}
	for version, s := range a.versions {
		if g.collector(version).ID == a.deps.Self.ID {
			mine[version] = s
		} else {
			delete(a.versions, version)
		}
	}
	return mine
}

// read takes in the rows of all groups. The group's own is only wanted once,
// after this node took over: later it holds nothing but what this node wrote.
func (a *archive) read(ctx context.Context, g group, version string, s *shelf) error {
	prefix := qualityPrefix + version + "/"
	rows, err := a.deps.Table.Scan(ctx, prefix, "", scanLimit)
	if err != nil {
		return err
	}
	for _, row := range rows {
		cells, err := decodeCells(row.Value)
		if err != nil {
			continue // it will be written anew
		}
		name := strings.TrimPrefix(row.Key, prefix)
		if name != g.name {
			sum := quality.Summary{Node: "group/" + name, Seq: row.Version, Cells: cells}
			a.deps.Chooser.Merge(choice.Summary{Summary: sum}, time.Now())
			continue
		}
		s.row = row.Version
		if !s.restored {
			a.deps.Chooser.Restore(version, cells)
		}
	}
	s.restored = true
	return nil
}

// write replaces the group's row. Another node that believes it collects, too,
// may have written it; then the next reading learns of it.
func (a *archive) write(ctx context.Context, g group, version string, s *shelf, now time.Time) {
	cells := a.deps.Chooser.Archive(version, now)
	if len(cells) == 0 {
		return
	}
	key := qualityPrefix + version + "/" + g.name
	_, _ = a.deps.Table.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Version: s.row}},
		Writes:     []platform.Write{{Key: key, Value: encodeCells(cells)}},
	})
}

func encodeCells(cells []quality.Entry) []byte {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(cells); err != nil {
		panic(err) // plain values can be encoded
	}
	return b.Bytes()
}

func decodeCells(value []byte) ([]quality.Entry, error) {
	var cells []quality.Entry
	err := gob.NewDecoder(bytes.NewReader(value)).Decode(&cells)
	return cells, eris.Wrap(err, "quality row")
}
