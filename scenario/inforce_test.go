package scenario

import (
	"context"
	"net/url"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/admin"
)

// settled is the time within which an accepted configuration must be in force
// everywhere, as issue 4 says.
const settled = 3 * time.Second

// awaitInForce: REVISION [ENTRY [LAGGING...]]: the entry says that the revision
// is in force everywhere; or, if others are named, that all but these confirmed
// it and that the time has gone after which these may not serve without it.
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
	ctx, cancel := context.WithTimeout(context.Background(), dumpLimit)
	defer cancel()
	var answer admin.Confirmation
	if _, err := operator.Get(ctx, "configuration/status", url.Values{"revision": {args[0]}}, &answer); err != nil {
		return err
	}
	if len(args) > 2 {
		if slices.Equal(answer.Lagging, args[2:]) && answer.SinceMillis >= settled.Milliseconds() {
			return nil
		}
		return eris.Errorf("%+v", answer)
	}
	if !answer.InForce {
		return eris.Errorf("%+v", answer)
	}
	return nil
}
