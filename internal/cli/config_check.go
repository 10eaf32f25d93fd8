package cli

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/example"
)

const (
	configHelp      = `Work with configuration files; no node is needed.`
	configCheckHelp = `Check a configuration file. Every fault is told with its field; what is
accepted but likely not meant is told as a warning. With --against, also
what would change from another file.

Examples:
  hickorybank config check next.json
  hickorybank config check next.json --against now.json`
	configExampleHelp = `Print the configuration of an example deployment, to start from.

Example:
  hickorybank config example --deployment sahel > first.json`
)

type configCheckCommand struct {
	env     *env
	Against string  `long:"against" env:"HICKORYBANK_AGAINST" accept:"text" description:"another configuration file, to show the difference from"`
	JSON    bool    `long:"json" env:"HICKORYBANK_JSON" description:"print JSON for programs"`
	Args    fileArg `positional-args:"true"`
}

// checkReport is the JSON output of config check for a valid file.
type checkReport struct {
	Warnings    []config.Fault      `json:"warnings"`
	Differences []config.Difference `json:"differences,omitempty"`
}

// Execute checks a configuration file and prints its warnings and differences.
func (c *configCheckCommand) Execute([]string) error {
	doc, err := readConfiguration(c.Args.File)
	if err != nil {
		return err
	}
	report := checkReport{Warnings: doc.Warnings()}
	if c.Against != "" {
		before, err := readConfiguration(c.Against)
		if err != nil {
			return err
		}
		report.Differences = config.Diff(before, doc)
	}
	if c.JSON {
		return writeJSON(c.env.out, report)
	}
	for _, w := range report.Warnings {
		fmt.Fprintln(c.env.out, "warning:", w.Field+":", w.Reason)
	}
	for _, d := range report.Differences {
		fmt.Fprintln(c.env.out, d)
	}
	fmt.Fprintf(c.env.out, "%s is valid: %d organisations, %d models, %d services, preset %s\n",
		c.Args.File, len(doc.Organisations), len(doc.Models), len(doc.Services), doc.Preset)
	return nil
}

type configExampleCommand struct {
	env        *env
	Deployment string `long:"deployment" env:"HICKORYBANK_DEPLOYMENT" accept:"one of tarifas, sahel" default:"tarifas" description:"which deployment"`
}

// Execute prints the configuration of an example deployment as JSON.
func (c *configExampleCommand) Execute([]string) error {
	doc, err := example.Load(c.Deployment)
	if err != nil {
		return err
	}
	data, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	return printLine(c.env, string(data))
}
