package claim

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/hickorybank/hickorybank/internal/ledger/fate"
	"github.com/hickorybank/hickorybank/internal/ledger/key"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/request"
)

// script runs the scenarios in testdata: several processes write one log, and the
// scenario determines the result of each call to the table.
type script struct {
	store        *store
	name         key.Log
	now          time.Time
	writers      map[string]*writer
	number       uint64
	descriptions map[uint64]string
	out          strings.Builder
}

type writer struct {
	log        *Log
	read       *Read
	create     *Create
	lateWrites []platform.Txn
}

func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenario", func(t *testing.T, path string) {
		s := &script{
			store: newStore(), name: key.Log{Kind: key.Timed, Shard: 1, Bucket: 7},
			now: time.Unix(1000, 0).UTC(), writers: map[string]*writer{}, descriptions: map[uint64]string{},
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.out.Reset()
			s.run(t, d)
			return s.out.String()
		})
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) {
	switch d.Cmd {
	case "process":
		s.writers[d.CmdArgs[0].Key] = &writer{log: NewLog(s.name, settings(d.CmdArgs[0].Key), nil)}
	case "claim", "settle", "release":
		s.add(t, d)
	case "time":
		step, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		s.now = s.now.Add(step)
	case "read", "read-fails", "write", "write-lost", "write-refused", "write-late", "land", "run":
		s.call(t, d)
	case "delete-below":
		s.store.raiseFloor(s.name, atoi(t, d, d.CmdArgs[0].Key))
	case "rows":
		s.rows()
	default:
		d.Fatalf(t, "unknown command %q", d.Cmd)
	}
}

func (s *script) add(t *testing.T, d *datadriven.TestData) {
	var k, attempt, answer string
	print, wait := "p", "1h"
	d.ScanArgs(t, "key", &k)
	d.ScanArgs(t, "attempt", &attempt)
	d.MaybeScanArgs(t, "body", &print)
	d.MaybeScanArgs(t, "wait", &wait)
	d.MaybeScanArgs(t, "answer", &answer)
	limit, err := time.ParseDuration(wait)
	if err != nil {
		d.Fatalf(t, "%v", err)
	}
	e := Entry{ID: key.NewID("org", k), Attempt: key.AttemptID(attempt)}
	switch d.Cmd {
	case "claim":
		e.Kind, e.Node, e.Print = KindClaim, d.CmdArgs[0].Key, request.NewFingerprint("org", []byte(print))
	case "settle":
		e.Kind, e.Outcome, e.Answer = KindSettle, request.Completed, []byte(answer)
	case "release":
		e.Kind = KindRelease
	}
	s.number++
	s.descriptions[s.number] = fmt.Sprintf("%s %s %s", d.Cmd, k, attempt)
	w := s.writers[d.CmdArgs[0].Key]
	w.log.Add(s.now, Op{Number: s.number, Entry: e, Deadline: s.now.Add(limit)})
	s.ready(d.CmdArgs[0].Key, w)
}

// call ends the call in flight with the result that the command says.
func (s *script) call(t *testing.T, d *datadriven.TestData) {
	id := d.CmdArgs[0].Key
	w := s.writers[id]
	reads, writes := strings.HasPrefix(d.Cmd, "read"), strings.HasPrefix(d.Cmd, "write")
	if reads && w.read == nil || writes && w.create == nil {
		d.Fatalf(t, "no such call of %s is out", id)
	}
	switch d.Cmd {
	case "read":
		w.log.RowsRead(s.store.floorFor(s.name, w.read), s.store.rows(s.name, w.read.From), false)
		w.read = nil
	case "read-fails":
		w.read = nil
		w.log.ReadFailed(s.now)
	case "write", "write-lost", "write-refused", "write-late":
		txn := s.store.txn(s.name, w.create)
		w.create = nil
		w.log.WriteDone(s.now, s.fate(d.Cmd, w, txn))
	case "land":
		fmt.Fprintf(&s.out, "%s: late write: %s\n", id, s.store.commit(w.lateWrites[0]))
		w.lateWrites = w.lateWrites[1:]
	}
	s.ready(id, w)
}

func (s *script) fate(cmd string, w *writer, txn platform.Txn) fate.Fate {
	switch cmd {
	case "write":
		return s.store.commit(txn)
	case "write-lost":
		s.store.commit(txn)
	case "write-late":
		w.lateWrites = append(w.lateWrites, txn)
	case "write-refused":
		return fate.Refused
	}
	return fate.Unanswered
}

func (s *script) ready(id string, w *writer) {
	r := w.log.Ready(s.now)
	for _, reply := range r.Replies {
		fmt.Fprintf(&s.out, "%s: %s: %s\n", id, s.descriptions[reply.Number], reply.Verdict)
	}
	if r.Read != nil {
		w.read = r.Read
		fmt.Fprintf(&s.out, "%s: reads from %d, floor %t\n", id, r.Read.From, r.Read.Floor)
	}
	if r.Create != nil {
		w.create = r.Create
		fmt.Fprintf(&s.out, "%s: creates row %d, batch %d, entries %d\n", id, r.Create.Seq, r.Create.Row.Number, len(r.Create.Row.Entries))
	}
	if !r.Wake.IsZero() && r.Wake.Before(s.now.Add(time.Hour)) {
		fmt.Fprintf(&s.out, "%s: wakes in %s\n", id, r.Wake.Sub(s.now))
	}
}

func (s *script) rows() {
	for _, stored := range s.store.rows(s.name, 0) {
		fmt.Fprintf(&s.out, "row %d of %s, batch %d, entries %d\n", stored.Seq, stored.Row.Writer, stored.Row.Number, len(stored.Row.Entries))
	}
}

func atoi(t *testing.T, d *datadriven.TestData, s string) int64 {
	var n int64
	if _, err := fmt.Sscanf(s, "%d", &n); err != nil {
		d.Fatalf(t, "%v", err)
	}
	return n
}
