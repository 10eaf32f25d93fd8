package cli

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/capacity"
)

const capacityHelp = `Measure what the router's parts cost at a few sizes, and work out from the
slopes what a node and the platform have to bear at the size that the users
expect within two years. Takes about two minutes of an otherwise quiet machine.

Examples:
  hickorybank capacity --quick
  hickorybank capacity --write docs/CAPACITY.md`

type capacityCommand struct {
	env    *env
	Quick  bool   `long:"quick" env:"HICKORYBANK_QUICK" description:"fewer sizes and shorter rounds, for a first look"`
	JSON   bool   `long:"json" env:"HICKORYBANK_JSON" description:"print the report as JSON"`
	Write  string `long:"write" env:"HICKORYBANK_WRITE" value-name:"FILE" accept:"text" description:"put the report between the markers of this page"`
	Render bool   `long:"render" env:"HICKORYBANK_RENDER" description:"measure nothing: work the page of --write out again from its own slopes"`
}

// Execute measures the slopes, or reads them from the page, and prints or writes the report.
func (c *capacityCommand) Execute([]string) error {
	slopes, err := c.slopes()
	if err != nil {
		return err
	}
	report, err := capacity.NewReport(slopes)
	if err != nil {
		return err
	}
	if c.Write != "" {
		if err := c.write(report); err != nil {
			return err
		}
	}
	return c.print(report)
}

func (c *capacityCommand) slopes() (capacity.Slopes, error) {
	if !c.Render {
		return capacity.Measure(c.Quick, func(s capacity.Slope) { fmt.Fprintln(c.env.err, "measured", s.Name) })
	}
	if c.Write == "" {
		return nil, eris.New("--render needs the page: --write FILE")
	}
	page, err := os.ReadFile(c.Write)
	if err != nil {
		return nil, eris.Wrap(err, "read page")
	}
	return capacity.Parse(string(page))
}

// pageFileMode is the file mode of the written page.
const pageFileMode = 0o644

func (c *capacityCommand) write(r capacity.Report) error {
	page, err := os.ReadFile(c.Write)
	if err != nil {
		return eris.Wrap(err, "read page")
	}
	next, err := capacity.Replace(string(page), capacity.Render(r))
	if err != nil {
		return err
	}
	return eris.Wrap(os.WriteFile(c.Write, []byte(next), pageFileMode), "write page")
}

func (c *capacityCommand) print(r capacity.Report) error {
	if c.JSON {
		encoder := json.NewEncoder(c.env.out)
		encoder.SetIndent("", "  ")
		return eris.Wrap(encoder.Encode(r), "print report")
	}
	if c.Write != "" {
		return nil
	}
	_, err := fmt.Fprint(c.env.out, capacity.Render(r))
	return eris.Wrap(err, "print report")
}
