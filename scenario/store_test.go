package scenario

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/control"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

const dumpLimit = 5 * time.Second

// dump reads the platform's store past its limits and faults.
func (c *cluster) dump(prefix string) (memory.Dump, error) {
	p, err := c.process(platformID)
	if err != nil {
		return memory.Dump{}, err
	}
	client := control.New("http://" + p.addrs.Faults)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), dumpLimit)
	defer cancel()
	return client.Dump(ctx, prefix)
}

// bill is one bill as the store holds it.
type bill struct {
	Org     string `json:"org"`
	Key     string `json:"key"`
	Version string `json:"version"`
	Cost    int64  `json:"cost"`
}

const billsPrefix = "bills/"

func (c *cluster) bills() ([]bill, error) {
	dump, err := c.dump(billsPrefix)
	if err != nil {
		return nil, err
	}
	bills := make([]bill, 0, len(dump.Rows))
	for _, row := range dump.Rows {
		var b bill
		if err := json.Unmarshal(row.Value, &b); err != nil {
			return nil, eris.Wrap(err, row.Key)
		}
		bills = append(bills, b)
	}
	return bills, nil
}

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
		return eris.Errorf("%d bills of %s %s, not %d", n, args[0], args[1], want)
	}
	return nil
}

// awaitListed: ID...: the platform knows the VMs as live.
func awaitListed(c *cluster, args []string) error {
	for _, id := range args {
		state, err := c.vmState(id)
		if err != nil {
			return err
		}
		if state != platform.Live {
			return eris.Errorf("%s is not live but %q", id, state)
		}
	}
	return nil
}

// awaitUnlisted: ID: the platform does not know the VM.
func awaitUnlisted(c *cluster, args []string) error {
	state, err := c.vmState(args[0])
	if err == nil && state != "" {
		return eris.Errorf("%s is listed as %s", args[0], state)
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
