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
	p, err := c.process(platformID)
	ts.Check(err)
	client := platformclient.New("http://" + p.addrs.Main)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), dumpLimit)
	defer cancel()
	ts.Check(client.LeaveVM(ctx, args[0]))
}
