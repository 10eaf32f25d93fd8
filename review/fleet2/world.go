package fleet2

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/hickorybank/hickorybank/platform/platformtest"
)

// program is the program that the build of the deploy file makes, from the folder of a case.
const program = "../../target/hickorybank"

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// InTouch is how long a process runs without a disturbance until it is in touch (stable_ms).
const InTouch = 3 * time.Second

// longestRun bounds the run of a case.
const longestRun = 110 * time.Second

// World is a small deployment.
type World struct {
	*Record
	Store   *platformtest.Store
	Gates   []*Gate
	Clients *Clients

	dir   string
	close sync.Once
}

// Main runs a case in a world with gateways that are in touch, and returns its exit code. prepare
// starts the runners before the gateways start.
func Main(gates int, prepare func(w *World) error, run func(w *World) (broken bool, err error)) int {
	w, err := open(gates)
	if err != nil {
		fmt.Println(err)
		return NotRun
	}
	defer w.end()
	w.endAfter(longestRun)
	broken, err := func() (bool, error) {
		if err := prepare(w); err != nil {
			return false, err
		}
		if err := w.StartGates(); err != nil {
			return false, err
		}
		time.Sleep(InTouch + time.Second)
		return run(w)
	}()
	switch {
	case err != nil:
		w.Say("the case could not run: %v", err)
		return NotRun
	case broken:
		w.Say("the rule was broken")
		return Broken
	}
	w.Say("the rule held")
	return Held
}

// Trouble reports whether the disturbance takes place.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

func open(gates int) (*World, error) {
	record, err := NewRecord(".")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "hickorybank-case")
	if err != nil {
		return nil, err
	}
	w := &World{Record: record, Store: platformtest.NewStore(), Clients: NewClients(record), dir: dir}
	PutConfig(w.Store, 1)
	if w.Gates, err = newGates(record, dir, w.Store.Addr(), gates); err != nil {
		w.end()
		return nil, err
	}
	return w, nil
}

// StartGates starts all gateways and waits until they are ready.
func (w *World) StartGates() error {
	for _, g := range w.Gates {
		if err := g.Start(); err != nil {
			return err
		}
	}
	for _, g := range w.Gates {
		if err := g.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	w.Say("all gateways are ready")
	return nil
}

// endAfter ends the world and the process after a time, or at a signal.
func (w *World) endAfter(limit time.Duration) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(limit):
		}
		w.end()
		os.Exit(NotRun)
	}()
}

// end ends all processes.
func (w *World) end() {
	w.close.Do(func() {
		for _, g := range w.Gates {
			g.Kill()
		}
		_ = w.Record.Close()    // the run is over
		_ = os.RemoveAll(w.dir) // as above
	})
}
