package capacity

import (
	"context"
	"io"
	"log/slog"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client"
	standin "github.com/hickorybank/hickorybank/internal/standin/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

// platformProbes measure platform calls. The processor time includes the stand-in's part, so the
// router's own is less.
func platformProbes() []Probe {
	sizes := []int{100, 4000, 32_000}
	quick := []int{100, 4000}
	return []Probe{
		{
			Slope: Slope{Name: "table.get", What: "a row read over HTTP, the stand-in platform's part included", Per: "bytes of the row", Unit: Nanoseconds},
			Sizes: sizes, QuickSizes: quick, Measure: func(m Meter, n int) (float64, error) { return onPlatform(n, m, readRow) },
		},
		{
			Slope: Slope{Name: "table.get.bytes", What: "a row read and its question", Per: "bytes of the row", Unit: Bytes},
			Sizes: sizes, QuickSizes: quick, Measure: func(_ Meter, n int) (float64, error) { return platformBytes(n, readRow) },
		},
		{
			Slope: Slope{Name: "table.commit", What: "a row written under a condition over HTTP, the stand-in platform's part included", Per: "bytes of the row", Unit: Nanoseconds},
			Sizes: sizes, QuickSizes: quick, Measure: func(m Meter, n int) (float64, error) { return onPlatform(n, m, writeRow) },
		},
		{
			Slope: Slope{Name: "table.commit.bytes", What: "a row written under a condition and the answer", Per: "bytes of the row", Unit: Bytes},
			Sizes: sizes, QuickSizes: quick, Measure: func(_ Meter, n int) (float64, error) { return platformBytes(n, writeRow) },
		},
	}
}

const rowKey = "bills/t/000000000001/entry-00000/0000000001"

// platformCall calls the table for the n-th time with the given row.
type platformCall func(table platform.Table, row []byte, n int) error

func readRow(table platform.Table, _ []byte, _ int) error {
	_, err := table.Get(context.Background(), rowKey)
	return err
}

func writeRow(table platform.Table, row []byte, n int) error {
	key := rowKey + strconv.Itoa(n)
	result, err := table.Commit(context.Background(), platform.Txn{
		Conditions: []platform.Condition{{Key: key}},
		Writes:     []platform.Write{{Key: key, Value: row}},
	})
	if err == nil && !result.Applied {
		return eris.New("commit of a new row failed: key exists")
	}
	return err
}

// rowOf returns size incompressible bytes.
func rowOf(size int) []byte {
	row := make([]byte, size)
	for i := range row {
		row[i] = byte(splitMix64(uint64(i)))
	}
	return row
}

func newPlatform(row []byte) (*standin.Server, error) {
	s, err := standin.New(standin.Settings{Listen: "127.0.0.1:0", FaultListen: "127.0.0.1:0", Settings: memory.Settings{Seed: 1}}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		return nil, err
	}
	if err := s.Start(); err != nil {
		return nil, err
	}
	_, err = s.State().Commit(context.Background(), platform.Txn{Writes: []platform.Write{{Key: rowKey, Value: row}}})
	return s, err
}

func onPlatform(size int, m Meter, call platformCall) (float64, error) {
	row := rowOf(size)
	s, err := newPlatform(row)
	if err != nil {
		return 0, err
	}
	defer func() { _ = s.Close(context.Background()) }()
	table := client.New("http://" + s.Addr())
	calls := 0
	v := m.CPU(func(n int) {
		for range n {
			calls++
			if failed := call(table, row, calls); failed != nil {
				err = failed
				return
			}
		}
	})
	return v, err
}

func platformBytes(size int, call platformCall) (float64, error) {
	row := rowOf(size)
	s, err := newPlatform(row)
	if err != nil {
		return 0, err
	}
	r, err := newRelay(s.Addr())
	if err != nil {
		return 0, err
	}
	defer r.close()
	defer func() { _ = s.Close(context.Background()) }()
	table := client.New("http://" + r.addr())
	const counted = 20
	for i := range counted {
		if err := call(table, row, i); err != nil {
			return 0, err
		}
	}
	return float64(r.bytes.Load()) / counted, nil
}
