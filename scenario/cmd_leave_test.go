package scenario

import (
	"context"

	"github.com/rogpeppe/go-internal/testscript"

	platformclient "github.com/hickorybank/hickorybank/internal/platform/client"
)

// cmdLeave marks a VM as leaving in the platform's list. The VM itself knows
// nothing of it and takes work as before.
func cmdLeave(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	needs(ts, neg, args, 1, "leave ID")
	c.changeList(ts, func(ctx context.Context, client *platformclient.Client) error { return client.LeaveVM(ctx, args[0]) })
}

// cmdUnlist drops a VM that is no more from the platform's list.
func cmdUnlist(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	needs(ts, neg, args, 1, "unlist ID")
	c.changeList(ts, func(ctx context.Context, client *platformclient.Client) error { return client.RemoveVM(ctx, args[0]) })
}

func (c *cluster) changeList(ts *testscript.TestScript, change func(context.Context, *platformclient.Client) error) {
	p, err := c.process(platformID)
	ts.Check(err)
	client := platformclient.New("http://" + p.addrs.Main)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), dumpLimit)
	defer cancel()
	ts.Check(change(ctx, client))
}
