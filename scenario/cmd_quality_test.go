package scenario

import (
	"context"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/hickorybank/hickorybank/internal/standin/platform/control"
	"github.com/hickorybank/hickorybank/internal/standin/platform/rating"
)

// cmdQuality sets the true quality of a version, which the rating service sees.
func cmdQuality(ts *testscript.TestScript, c *cluster, neg bool, args []string) {
	needs(ts, neg, args, 2, "quality VERSION QUALITY")
	quality, err := strconv.ParseFloat(args[1], 64)
	ts.Check(err)
	p, err := c.process(platformID)
	ts.Check(err)
	client := control.New("http://" + p.addrs.Faults)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), dumpLimit)
	defer cancel()
	ts.Check(client.SetQuality(ctx, rating.Quality{Version: args[0], Quality: quality}))
}
