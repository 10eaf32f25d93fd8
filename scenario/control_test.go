package scenario

import (
	"context"

	"github.com/hickorybank/hickorybank/internal/standin/platform/control"
)

// control calls the platform's control port, which bypasses its limits and faults.
func (c *cluster) control(ask func(context.Context, *control.Client) error) error {
	p, err := c.process(platformID)
	if err != nil {
		return err
	}
	client := control.New("http://" + p.addrs.Faults)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	return ask(ctx, client)
}
