package gateway

import (
	"io"
	"log"
)

// discardLog discards the log lines of net/http about broken connections. This package logs
// the end of each request with its ID.
var discardLog = log.New(io.Discard, "", 0)
