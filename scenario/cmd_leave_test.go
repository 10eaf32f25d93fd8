package scenario

import (
	"context"

	"github.com/rogpeppe/go-internal/testscript"

	platformclient "github.com/hickorybank/hickorybank/internal/platform/client"
)

// cmdLeave marks a VM as leaving in the platform's list. The VM is not notified and accepts
// work as before.
func cmdLeave(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "leave ID")
	c.changeList(ts, func(ctx context.Context, client *platformclient.Client) error { return client.LeaveVM(ctx, args[0]) })
}

// cmdUnlist removes a VM that no longer exists from the platform's list.
func cmdUnlist(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "unlist ID")
	c.changeList(ts, func(ctx context.Context, client *platformclient.Client) error { return client.RemoveVM(ctx, args[0]) })
}

func (c *cluster) changeList(ts *testscript.TestScript, change func(context.Context, *platformclient.Client) error) {
	p, err := c.process(platformID)
	ts.Check(err)
	client := platformclient.New("http://" + p.addrs.Main)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	ts.Check(change(ctx, client))
}
