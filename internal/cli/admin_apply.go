package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/config"
	platformclient "github.com/hickorybank/hickorybank/internal/platform/client"
)

type adminApplyCommand struct {
	env      *env
	Platform string `long:"platform" env:"HICKORYBANK_PLATFORM" required:"true" description:"base URL of the platform"`
	Base     uint64 `long:"base" description:"revision that the file was made from"`
	Args     struct {
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute stores a configuration file.
func (c *adminApplyCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return eris.Wrap(err, "read file")
	}
	doc, err := config.Parse(data)
	if err != nil {
		return err
	}
	store := admin.NewStore(platformclient.New(c.Platform))
	head, applied, err := store.Put(context.Background(), c.Base, doc, uuid.NewString())
	if err != nil {
		return err
	}
	if !applied {
		return eris.Errorf("the present revision is %d, not %d", head.Revision, c.Base)
	}
	fmt.Fprintln(c.env.out, "accepted revision", head.Revision)
	return nil
}
