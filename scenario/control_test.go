package scenario

import (
	"context"

	"github.com/hickorybank/hickorybank/internal/standin/platform/control"
)

// control asks the platform's control port, past its limits and faults.
func (c *cluster) control(ask func(context.Context, *control.Client) error) error {
	p, err := c.process(platformID)
	if err != nil {
		return err
	}
	client := control.New("http://" + p.addrs.Faults)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), dumpLimit)
	defer cancel()
	return ask(ctx, client)
}
