package client

import (
	"net/url"

	"github.com/hickorybank/hickorybank/internal/admin"
)

// Change is a request that changes the configuration.
type Change struct {
	Method string
	// Path is relative to /admin/v1/; see [Path].
	Path string
	Body []byte
	// Base is the revision that the change is made from.
	Base uint64
	// ID is unique to the change. Retries have the same id.
	ID string
}

func (c Change) request() request {
	return request{
		method: c.Method, path: c.Path, body: c.Body,
		headers: map[string]string{admin.HeaderRevision: admin.ETag(c.Base), admin.HeaderChangeID: c.ID},
	}
}

// Path joins the parts of a path with slashes and escapes each part.
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
