package cli

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"
)

// The log of an outage must stay readable: an error takes one line with its message and has no stack
// trace.
func TestErrorsAreLoggedWithoutStackTrace(t *testing.T) {
	for _, format := range []string{"text", "json"} {
		is := is.New(t)
		var out bytes.Buffer
		options := logOptions{LogFormat: format}
		log := options.loggerWithLevel(&env{err: &out}, "warn")
		log.Info("left out")
		log.Warn("kept", slog.Any("error", eris.Wrap(eris.New("table is down"), "read head")))
		is.True(strings.Contains(out.String(), "read head: table is down"))
		is.Equal(strings.Count(out.String(), "\n"), 1)
		is.True(!strings.Contains(out.String(), ".go"))
		is.True(!strings.Contains(out.String(), "left out"))
	}
}
