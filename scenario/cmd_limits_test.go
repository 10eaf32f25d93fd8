package scenario

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/standin/platform/control"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

// cmdLimits changes the platform's rate limits.
func cmdLimits(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	requireArgs(ts, neg, args, 1, "limits JSON")
	var change memory.LimitsChange
	ts.Check(eris.Wrap(json.Unmarshal([]byte(strings.Join(args, " ")), &change), "limits"))
	ts.Check(c.limits(change))
}

func (c *cluster) limits(change memory.LimitsChange) error {
	return c.control(func(ctx context.Context, client *control.Client) error {
		_, err := client.SetLimits(ctx, change)
		return err
	})
}
