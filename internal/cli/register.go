package cli

import (
	"context"
	"time"

	"github.com/hickorybank/hickorybank/internal/platform"
	platformclient "github.com/hickorybank/hickorybank/internal/platform/client"
)

const registerTimeout = 5 * time.Second

func register(client *platformclient.Client, vm platform.VM) error {
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	defer cancel()
	return client.RegisterVM(ctx, vm)
}
