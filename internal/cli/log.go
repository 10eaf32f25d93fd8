package cli

import (
	"log/slog"
)

// logOptions are the flags of every long-running command.
type logOptions struct {
	LogFormat string `long:"log-format" env:"HICKORYBANK_LOG_FORMAT" accept:"one of text, json" default:"text" description:"form of the log"`
	LogLevel  string `long:"log-level" env:"HICKORYBANK_LOG_LEVEL" accept:"one of debug, info, warn, error" description:"least level that is logged (info, if not given; warn for dev)"`
}

func (o *logOptions) logger(e *env) *slog.Logger { return o.loggerFrom(e, "info") }

// loggerFrom returns a logger from a level on, unless another was given.
func (o *logOptions) loggerFrom(e *env, least string) *slog.Logger {
	if o.LogLevel != "" {
		least = o.LogLevel
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(least)); err != nil {
		panic(err) // the settings were checked
	}
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: plainErrors}
	if o.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(e.err, options))
	}
	return slog.New(slog.NewTextHandler(e.err, options))
}

// plainErrors writes an error as its message. The text handler would write the
// stack of each error from eris, which hides the message and tells paths of the
// machine that built the program.
func plainErrors(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
