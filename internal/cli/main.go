package cli

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/hickorybank/hickorybank/internal/cli/setting"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// env holds the output streams of a command.
type env struct {
	out io.Writer
	err io.Writer
}

// Extra is a command that the caller of [Main] adds to those of this package. Name is its word on
// the command line; Short and Long are its help texts.
type Extra struct {
	Name, Short, Long string
	// Data is a struct with flags that implements [flags.Commander].
	Data flags.Commander
}

// Main parses the arguments, runs the command and returns the exit code: 0 for success, 1 for a
// failure of the command, 2 for an invalid command line or setting. Errors are printed to errOut.
func Main(args []string, out, errOut io.Writer, extra ...Extra) int {
	_, err := newParser(&env{out: out, err: errOut}, extra...).ParseArgs(args)
	var flagErr *flags.Error
	var faults setting.Faults
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(out, flagErr.Message)
		return exitOK
	case errors.As(err, &flagErr):
		fmt.Fprintln(errOut, "hickorybank:", flagErr.Message)
		return exitUsage
	case errors.As(err, &faults):
		fmt.Fprintln(errOut, "hickorybank:", faults)
		return exitUsage
	default:
		fmt.Fprintln(errOut, "hickorybank:", err)
		return exitFailed
	}
}

// execute checks all settings of a command and runs it if there are no faults.
func execute(command flags.Commander, args []string) error {
	if command == nil {
		return nil
	}
	if len(args) > 0 {
		return &flags.Error{Type: flags.ErrCommandRequired, Message: "unexpected argument: " + strings.Join(args, " ")}
	}
	faults := setting.Check(command)
	if checker, ok := command.(interface{ faults() setting.Faults }); ok {
		faults = append(faults, checker.faults()...)
	}
	if len(faults) > 0 {
		return faults
	}
	return command.Execute(nil)
}
