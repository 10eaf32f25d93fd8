package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/cli/setting"
	"github.com/hickorybank/hickorybank/internal/config"
	platformclient "github.com/hickorybank/hickorybank/internal/platform/client"
)

// fileArg is the positional argument of commands that read a file.
type fileArg struct {
	File string `positional-arg-name:"FILE" required:"true"`
}

type adminGetCommand struct {
	adminOptions
	Revision setting.Count `long:"revision" env:"HICKORYBANK_REVISION" accept:"1..9223372036854775807" description:"a past revision"`
}

// Execute prints the configuration as JSON, and its revision to standard error.
func (c *adminGetCommand) Execute([]string) error {
	query := url.Values{}
	if c.Revision.Given() {
		query.Set("revision", fmt.Sprint(c.Revision.Get()))
	}
	s, err := c.open()
	if err != nil {
		return err
	}
	defer s.close()
	var doc json.RawMessage
	revision, err := s.client.Get(s.ctx, "configuration", query, &doc)
	if err != nil {
		return err
	}
	fmt.Fprintln(c.env.err, "revision", revision)
	return writeJSON(c.env.out, doc)
}

type adminApplyCommand struct {
	changeOptions
	Args fileArg `positional-args:"true"`
}

// Execute replaces the configuration. It validates the file first, so that faults are reported even
// if no node answers.
func (c *adminApplyCommand) Execute([]string) error {
	doc, err := readConfiguration(c.Args.File)
	if err != nil {
		return err
	}
	if !c.Base.Given() {
		if err := c.Base.UnmarshalFlag("0"); err != nil {
			return err
		}
	}
	return c.send(http.MethodPut, "configuration", doc)
}

func readConfiguration(file string) (*config.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read file")
	}
	doc, err := config.Parse(data)
	if err != nil {
		return nil, eris.Wrap(err, file)
	}
	if faults := doc.Validate(); len(faults) > 0 {
		return nil, eris.Wrap(faults, file)
	}
	return doc, nil
}

const bootstrapTimeout = 30 * time.Second

type adminBootstrapCommand struct {
	env      *env
	Platform string  `long:"platform" env:"HICKORYBANK_PLATFORM" accept:"url" needed:"yes" description:"base URL of the platform"`
	Args     fileArg `positional-args:"true"`
}

// Execute stores the first configuration in the platform's table, without a node.
func (c *adminBootstrapCommand) Execute([]string) error {
	doc, err := readConfiguration(c.Args.File)
	if err != nil {
		return err
	}
	client := platformclient.New(c.Platform)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), bootstrapTimeout)
	defer cancel()
	head, applied, err := admin.NewStore(client).Put(ctx, 0, doc, uuid.NewString())
	if err != nil {
		return err
	}
	if !applied {
		return eris.Errorf("a configuration is stored already, as revision %d; nothing was changed", head.Revision)
	}
	fmt.Fprintln(c.env.out, "accepted revision", head.Revision)
	return nil
}
