package gateway

import (
	"io"
	"log"
)

// discardLog takes net/http's own lines on broken connections: each request's
// end is logged with its ID by this package.
var discardLog = log.New(io.Discard, "", 0)
