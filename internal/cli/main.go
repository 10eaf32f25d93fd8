package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// env is what every command runs in.
type env struct {
	out io.Writer
	err io.Writer
}

// Main parses the arguments, runs the command and returns the exit code: 0
// when it did its work, 1 when it failed, 2 when the command line is wrong.
func Main(args []string, out, errOut io.Writer) int {
	e := &env{out: out, err: errOut}
	parser := newParser(e)
	_, err := parser.ParseArgs(args)
	var flagErr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(out, flagErr.Message)
		return exitOK
	case errors.As(err, &flagErr):
		fmt.Fprintln(errOut, "hickorybank:", flagErr.Message)
		return exitUsage
	default:
		fmt.Fprintln(errOut, "hickorybank:", err)
		return exitFailed
	}
}

func newParser(e *env) *flags.Parser {
	parser := flags.NewNamedParser("hickorybank", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "model-aware router for versions and cascades"
	add := func(to *flags.Command, name, short string, data any) *flags.Command {
		c, err := to.AddCommand(name, short, short, data)
		if err != nil {
			panic(err) // a command's own definition is wrong
		}
		return c
	}
	add(parser.Command, "entry", "run an entry node", &entryCommand{env: e})
	add(parser.Command, "version", "print the version", &versionCommand{env: e})
	standin := add(parser.Command, "standin", "run a stand-in for an outside system", &struct{}{})
	add(standin, "platform", "run a stand-in platform", &standinPlatformCommand{env: e})
	add(standin, "upstream", "run a stand-in model engine or plain service", &standinUpstreamCommand{env: e})
	admin := add(parser.Command, "admin", "operate a deployment", &struct{}{})
	add(admin, "apply", "store a configuration file", &adminApplyCommand{env: e})
	return parser
}
