package scenario

import (
	"context"
	"errors"
	"log/slog"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/ledger"
	"github.com/hickorybank/hickorybank/internal/platform"
	platformclient "github.com/hickorybank/hickorybank/internal/platform/client"
	"github.com/hickorybank/hickorybank/internal/standin/platform/control"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

const (
	controlTimeout = 5 * time.Second
	// pageTimeout limits reading one page of bills. Reading the bills of 100,000 requests takes
	// minutes in total.
	pageTimeout = 15 * time.Second
)

// dump reads the platform's table through the control port, which bypasses its limits and
// faults.
func (c *cluster) dump(prefix string) (memory.Dump, error) {
	var dump memory.Dump
	err := c.control(func(ctx context.Context, client *control.Client) error {
		var err error
		dump, err = client.Dump(ctx, prefix)
		return err
	})
	return dump, err
}

// bills lists the bills as operators see them: one per key, wherever the ledger stores it.
func (c *cluster) bills() ([]ledger.Bill, error) {
	p, err := c.process(platformID)
	if err != nil {
		return nil, err
	}
	client := platformclient.New("http://" + p.addrs.Main)
	defer client.Close()
	settings := ledger.DefaultSettings()
	settings.BillReadsPerSecond = 1e6 // the check must not be rate limited
	reader := ledger.New(settings, ledger.Deps{Table: client, Objects: client.Objects(), Log: slog.New(slog.DiscardHandler)})
	now := time.Now()
	query := ledger.BillQuery{From: now.Add(-billsWindow), To: now.Add(billsWindow)}
	var all []ledger.Bill
	until := now.Add(maxWait)
	for {
		page, err := billPage(reader, query)
		if errors.Is(err, ledger.ErrReading) && time.Now().Before(until) {
			continue // the reader continues where it stopped
		}
		if err != nil {
			return nil, err
		}
		until = time.Now().Add(maxWait)
		all = append(all, page.Bills...)
		if page.Next == "" {
			return all, nil
		}
		query.Cursor = page.Next
	}
}

func billPage(reader *ledger.Ledger, query ledger.BillQuery) (ledger.BillPage, error) {
	ctx, cancel := context.WithTimeout(context.Background(), pageTimeout)
	defer cancel()
	return reader.Bills(ctx, query)
}

// billsWindow is how far before and after the current time a scenario's bills may lie.
const billsWindow = 2 * time.Hour

// expectBills: ORG KEY N: the store holds N bills of the request.
func expectBills(c *cluster, args []string) error {
	if len(args) != 3 {
		return errUsage
	}
	want, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	bills, err := c.bills()
	if err != nil {
		return err
	}
	n := 0
	for _, b := range bills {
		if b.Org == args[0] && b.Key == args[1] {
			n++
		}
	}
	if n != want {
		return eris.Errorf("%d bills of %s %s, want %d", n, args[0], args[1], want)
	}
	return nil
}

// awaitObjects: PREFIX N: the object store holds at least N objects with the prefix.
func awaitObjects(c *cluster, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	minimum, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	dump, err := c.dump(args[0])
	if err != nil {
		return err
	}
	if n := len(dump.Objects); n < minimum {
		return eris.Errorf("%d objects with prefix %s, want at least %d", n, args[0], minimum)
	}
	return nil
}

// awaitListed: ID...: the VMs are in the platform's list as live.
func awaitListed(c *cluster, args []string) error {
	for _, id := range args {
		state, err := c.vmState(id)
		if err != nil {
			return err
		}
		if state != platform.Live {
			return eris.Errorf("%s has state %q, want live", id, state)
		}
	}
	return nil
}

// awaitUnlisted: ID: the VM is not in the platform's list.
func awaitUnlisted(c *cluster, args []string) error {
	state, err := c.vmState(args[0])
	if err == nil && state != "" {
		return eris.Errorf("%s is still listed with state %s", args[0], state)
	}
	return err
}

func (c *cluster) vmState(id string) (platform.VMState, error) {
	dump, err := c.dump("none/")
	if err != nil {
		return "", err
	}
	for _, vm := range dump.VMs {
		if vm.ID == id {
			return vm.State, nil
		}
	}
	return "", nil
}
