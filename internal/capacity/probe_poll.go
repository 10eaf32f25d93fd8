package capacity

import (
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/hickorybank/hickorybank/internal/standin/engine"
	"github.com/hickorybank/hickorybank/internal/upstream/client"
)

// pollProbes measure polling the load reports of upstreams.
func pollProbes() []Probe {
	return []Probe{
		{
			Slope: Slope{Name: "poll.report", What: "a load report over HTTP, a stand-in engine's part included", Per: "versions in it", Unit: Nanoseconds},
			Sizes: []int{1, 4, 24}, QuickSizes: []int{1, 24}, Measure: measurePoll,
		},
		{
			Slope: Slope{Name: "poll.report.bytes", What: "a load report and its question", Per: "versions in it", Unit: Bytes},
			Sizes: []int{1, 4, 24}, QuickSizes: []int{1, 24}, Measure: measurePollBytes,
		},
	}
}

func newEngine(versions int) (*engine.Server, error) {
	s := engine.Settings{
		ID: "engine-00001", Listen: "127.0.0.1:0", FaultListen: "127.0.0.1:0", FailureDomain: domainName(0),
		BatchLimit: 64, TimeToFirstToken: time.Millisecond, TokenGap: time.Millisecond, TokensPerAnswer: 1,
	}
	for i := range versions {
		s.Versions = append(s.Versions, versionName(i))
	}
	e, err := engine.New(s, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		return nil, err
	}
	return e, e.Start()
}

func measurePoll(m Meter, versions int) (float64, error) {
	e, err := newEngine(versions)
	if err != nil {
		return 0, err
	}
	defer func() { _ = e.Close(context.Background()) }()
	engines := client.NewEngines(client.Options{})
	defer engines.Close()
	v := m.CPU(func(n int) {
		for range n {
			if _, failed := engines.Load(context.Background(), e.Addr()); failed != nil {
				err = failed
				return
			}
		}
	})
	return v, err
}

func measurePollBytes(_ Meter, versions int) (float64, error) {
	e, err := newEngine(versions)
	if err != nil {
		return 0, err
	}
	defer func() { _ = e.Close(context.Background()) }()
	r, err := newRelay(e.Addr())
	if err != nil {
		return 0, err
	}
	defer r.close()
	engines := client.NewEngines(client.Options{})
	defer engines.Close()
	const counted = 50
	for range counted {
		if _, err := engines.Load(context.Background(), r.addr()); err != nil {
			return 0, err
		}
	}
	return float64(r.bytes.Load()) / counted, nil
}
