package admin

import (
	"os"
	"regexp"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// A program is written by the page. It must name each path that is offered, and
// none that is not.
func TestPageNamesEveryPath(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/ADMIN-API.md")
	is.NoErr(err)
	var named []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([A-Z]+ /admin/[^`]+)` \\|").FindAllSubmatch(page, -1) {
		named = append(named, string(m[1]))
	}
	offered := slices.Clone(newDesk(t).server.offered)
	slices.Sort(named)
	slices.Sort(offered)
	is.Equal(named, offered)
	for _, code := range []Code{
		CodeBadRequest, CodeUnauthorised, CodeNotFound, CodeTooLarge, CodeConflict, CodeNoRevision, CodeInvalid,
		CodeKeyReused, CodeStoreUnavailable, CodeUnknown, CodeNotOffered, CodeInternal,
	} {
		is.True(regexp.MustCompile("\\| `" + string(code) + "` \\|").Match(page)) // each code
	}
}
