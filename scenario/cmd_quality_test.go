package scenario

import (
	"context"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hickorybank/hickorybank/internal/standin/platform/control"
	"github.com/hickorybank/hickorybank/internal/standin/platform/rating"
)

// cmdQuality sets the true quality of a version, from which the rating service derives its
// ratings.
func cmdQuality(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	requireArgs(ts, neg, args, 2, "quality VERSION QUALITY")
	quality, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	ts.Check(c.control(func(ctx context.Context, client *control.Client) error {
		return client.SetQuality(ctx, rating.Quality{Version: args[0], Quality: quality})
	}))
}
