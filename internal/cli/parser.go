package cli

import (
	"github.com/jessevdk/go-flags"
)

const longDescription = `Model-aware router for versions and cascades.

A newcomer's first command, everything in one process:
  hickorybank dev --deployment tarifas

Each flag can be given by its environment variable instead.
Exit codes: 0 done, 1 failed, 2 wrong command line or settings.`

// command defines a command or a group of subcommands.
type command struct {
	name  string
	short string
	long  string
	data  any
	sub   []command
}

func newParser(e *env, extra ...Extra) *flags.Parser {
	parser := flags.NewNamedParser("hickorybank", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	parser.CommandHandler = execute
	for _, c := range commands(e) {
		addCommand(parser.Command, c)
	}
	for _, x := range extra {
		addCommand(parser.Command, command{name: x.Name, short: x.Short, long: x.Long, data: x.Data})
	}
	return parser
}

func addCommand(parent *flags.Command, c command) {
	if c.data == nil {
		c.data = &struct{}{}
	}
	added, err := parent.AddCommand(c.name, c.short, c.long, c.data)
	if err != nil {
		panic(err) // the definition of the command is invalid
	}
	for _, sub := range c.sub {
		addCommand(added, sub)
	}
}

func commands(e *env) []command {
	return []command{
		{name: "entry", short: "run an entry node", long: entryHelp, data: &entryCommand{env: e}},
		{name: "dev", short: "run a whole example deployment in one process", long: devHelp, data: &devCommand{env: e}},
		{name: "load", short: "send load and report on it", long: loadHelp, data: &loadCommand{env: e}},
		{name: "standin", short: "run a stand-in for an outside system", long: standinHelp, sub: []command{
			{name: "platform", short: "run a stand-in platform", long: standinPlatformHelp, data: &standinPlatformCommand{env: e}},
			{name: "upstream", short: "run a stand-in model engine or plain service", long: standinUpstreamHelp, data: &standinUpstreamCommand{env: e}},
		}},
		{name: "admin", short: "operate a deployment", long: adminHelp, sub: adminCommands(e)},
		{name: "config", short: "work with configuration files", long: configHelp, sub: []command{
			{name: "check", short: "check a configuration file", long: configCheckHelp, data: &configCheckCommand{env: e}},
			{name: "example", short: "print the configuration of an example deployment", long: configExampleHelp, data: &configExampleCommand{env: e}},
		}},
		{name: "capacity", short: "measure costs and work out the letter's size", long: capacityHelp, data: &capacityCommand{env: e}},
		{name: "explain", short: "ask a gateway node where a request would go now, and why", long: explainHelp, data: &explainCommand{env: e}},
		{name: "crashes", short: "list what a gateway node refuses because upstreams crashed under it, or pardon it", long: crashesHelp, data: &crashesCommand{env: e}},
		{name: "version", short: "print the version", long: versionHelp, data: &versionCommand{env: e}},
	}
}
