package platform_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client"
	standin "github.com/hickorybank/hickorybank/internal/standin/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/fault"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

// op is one call on one row: a read, or a conditional write of a value that no
// other call writes.
type op struct {
	key     string
	write   bool
	version uint64
	value   string
}

// result is the answer that the caller of an op got.
type result struct {
	unknown bool
	applied bool
	// row is the row that was read, that conflicted, or that was written.
	row platform.Row
}

// rowState is one possible state of a row. After a write whose answer was lost, the
// version is not known until a call returns it.
type rowState struct {
	version uint64
	known   bool
	value   string
}

// matches reports whether the state can be that of a returned row, and returns the
// state with the row's version.
func (s rowState) matches(row platform.Row) (rowState, bool) {
	if s.value != string(row.Value) || s.known && s.version != row.Version {
		return s, false
	}
	return rowState{version: row.Version, known: true, value: s.value}, true
}

// step returns the states that are possible after an op with a result, or nil if the
// result is not possible in state s.
func step(s rowState, in op, out result) []any {
	if !in.write || !out.unknown && !out.applied {
		seen, ok := s.matches(out.row)
		if !ok || in.write && seen.version == in.version {
			return nil
		}
		return []any{seen}
	}
	if s.known && s.version != in.version {
		if out.unknown {
			return []any{s}
		}
		return nil
	}
	next := rowState{value: in.value, version: out.row.Version, known: out.applied}
	if out.applied {
		if out.row.Version <= in.version {
			return nil
		}
		return []any{next}
	}
	return []any{s, next}
}

// rowModel is the porcupine model of independent rows.
var rowModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, o := range history {
			key := o.Input.(op).key
			byKey[key] = append(byKey[key], o)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{rowState{known: true}} },
	Step: func(state, input, output any) []any {
		return step(state.(rowState), input.(op), output.(result))
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string {
		return fmt.Sprintf("%+v -> %+v", input, output)
	},
}

// history records the calls of all workers.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (h *history) now() int64 { return int64(time.Since(h.start)) }

func (h *history) add(worker int, in op, call int64, out result) {
	end := h.now()
	if out.unknown {
		// The write may take effect at any later time.
		end = math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: worker, Input: in, Call: call, Output: out, Return: end,
	})
}

const (
	workers  = 6
	calls    = 60
	rowCount = 4
)

// Several clients write the same rows while answers are lost, connections break, and
// delayed writes take effect after their callers gave up. All results must fit one
// sequential order: a refused or conflicting write must not become visible, and an
// applied write must not disappear.
func TestCommitsAreLinearizable(t *testing.T) {
	server, _ := start(t, standin.Settings{Settings: memory.Settings{Seed: 11}})
	faults := fault.Fault{
		LoseAckFraction: 0.1,
		DropFraction:    0.05,
		RefuseFraction:  0.05,
		DelayMS:         2,
	}
	if err := server.State().SetFaults(fault.Change{Table: &faults}); err != nil {
		t.Fatal(err)
	}
	h := &history{start: time.Now()}
	var wg conc.WaitGroup
	for w := range workers {
		wg.Go(func() { runWorker(t, h, w, "http://"+server.Addr()) })
	}
	wg.Wait()
	model := rowModel.ToModel()
	verdict, _ := porcupine.CheckOperationsVerbose(model, h.ops, time.Minute)
	if verdict != porcupine.Ok {
		t.Fatalf("history of %d calls: %s", len(h.ops), verdict)
	}
	unknown := 0
	for _, o := range h.ops {
		if o.Output.(result).unknown {
			unknown++
		}
	}
	if unknown == 0 {
		t.Fatal("no answer was lost: the test proves nothing")
	}
	t.Logf("%d calls, %d of them unknown to their callers", len(h.ops), unknown)
}

// runWorker makes one worker's calls and records them. Refused calls are not recorded,
// because they must have no effect.
func runWorker(t *testing.T, h *history, worker int, url string) {
	c := client.New(url)
	defer c.Close()
	rng := rand.New(rand.NewPCG(3, uint64(worker)))
	seen := make(map[string]uint64)
	for n := range calls {
		in := op{key: fmt.Sprintf("row/%d", rng.IntN(rowCount)), write: rng.IntN(3) > 0}
		in.version = seen[in.key]
		in.value = fmt.Sprintf("%d.%d", worker, n)
		ctx, cancel := context.WithTimeout(t.Context(), callTimeout(rng))
		call := h.now()
		out, err := issue(ctx, c, in)
		cancel()
		if errors.Is(err, platform.ErrRefused) {
			continue
		}
		if err != nil && !errors.Is(err, platform.ErrUnknown) {
			t.Errorf("neither refused nor unknown: %v", err)
			return
		}
		out.unknown = err != nil
		h.add(worker, in, call, out)
		if !out.unknown {
			seen[in.key] = out.row.Version
		}
	}
}

// callTimeout makes about one caller in ten give up while its write is delayed.
func callTimeout(rng *rand.Rand) time.Duration {
	if rng.IntN(10) == 0 {
		return time.Millisecond + time.Duration(rng.IntN(1000))*time.Microsecond
	}
	return time.Minute
}

func issue(ctx context.Context, c *client.Client, in op) (result, error) {
	if !in.write {
		row, err := c.Get(ctx, in.key)
		return result{row: row}, err
	}
	r, err := c.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: in.key, Version: in.version}},
		Writes:     []platform.Write{{Key: in.key, Value: []byte(in.value)}},
	})
	if err != nil || !r.Applied {
		out := result{}
		if len(r.Conflicts) == 1 {
			out.row = r.Conflicts[0]
		}
		return out, err
	}
	return result{applied: true, row: platform.Row{Key: in.key, Version: r.Version, Value: []byte(in.value)}}, nil
}
