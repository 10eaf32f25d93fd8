package client

import (
	"net/url"

	"github.com/hickorybank/hickorybank/internal/admin"
)

// Change is one change to send.
type Change struct {
	Method string
	// Path is below /admin/v1/; see [Path].
	Path string
	Body []byte
	// Base is the revision that the change was made from.
	Base uint64
	// ID is the change's own; a change that is sent again has the same.
	ID string
}

func (c Change) message() message {
	return message{
		method: c.Method, path: c.Path, body: c.Body,
		headers: map[string]string{admin.HeaderRevision: admin.Tag(c.Base), admin.HeaderChange: c.ID},
	}
}

// Path joins the parts of a path and escapes each.
func Path(parts ...string) string {
	path := ""
	for i, part := range parts {
		if i > 0 {
			path += "/"
		}
		path += url.PathEscape(part)
	}
	return path
}
