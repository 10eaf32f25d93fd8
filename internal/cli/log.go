package cli

import (
	"log/slog"
)

// logOptions are the flags of every long-running command.
type logOptions struct {
	LogFormat string `long:"log-format" env:"HICKORYBANK_LOG_FORMAT" accept:"one of text, json" default:"text" description:"form of the log"`
	LogLevel  string `long:"log-level" env:"HICKORYBANK_LOG_LEVEL" accept:"one of debug, info, warn, error" description:"least level that is logged (info, if not given; warn for dev)"`
}

func (o *logOptions) logger(e *env) *slog.Logger { return o.loggerWithLevel(e, "info") }

// loggerWithLevel returns a logger with a default level, which --log-level overrides.
func (o *logOptions) loggerWithLevel(e *env, minLevel string) *slog.Logger {
	if o.LogLevel != "" {
		minLevel = o.LogLevel
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(minLevel)); err != nil {
		panic(err) // cannot happen: the settings have been checked
	}
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: errorMessages}
	if o.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(e.err, options))
	}
	return slog.New(slog.NewTextHandler(e.err, options))
}

// errorMessages replaces an error attribute by its message. The text handler would write the stack
// trace of each error from eris, which obscures the message and reveals paths of the build machine.
func errorMessages(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
