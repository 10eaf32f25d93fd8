package scenario

import (
	"context"
	"net/url"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/admin"
)

// inForceTimeout is the time within which an accepted configuration must be in force on
// every entry (issue 4).
const inForceTimeout = 3 * time.Second

// awaitInForce: REVISION [ENTRY [LAGGING...]]: the entry reports the revision as in force
// everywhere. With LAGGING, it reports exactly these nodes as unconfirmed, and
// inForceTimeout has passed, after which they must not serve without the revision.
func awaitInForce(c *cluster, args []string) error {
	if len(args) == 0 {
		return errUsage
	}
	entry := ""
	if len(args) > 1 {
		entry = args[1]
	}
	operator, err := c.operator(entry)
	if err != nil {
		return err
	}
	defer operator.Close()
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	var answer admin.Confirmation
	if _, err := operator.Get(ctx, "configuration/status", url.Values{"revision": {args[0]}}, &answer); err != nil {
		return err
	}
	if len(args) > 2 {
		if slices.Equal(answer.Lagging, args[2:]) && answer.SinceMillis >= inForceTimeout.Milliseconds() {
			return nil
		}
		return eris.Errorf("unexpected lagging nodes: %+v", answer)
	}
	if !answer.InForce {
		return eris.Errorf("revision is not in force: %+v", answer)
	}
	return nil
}
