package admin

import (
	"os"
	"regexp"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// Programs are written from the API's page. It must list every endpoint and every code, and no
// endpoint that does not exist.
func TestAPIPageListsEveryEndpoint(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/ADMIN-API.md")
	is.NoErr(err)
	var documented []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([A-Z]+ /admin/[^`]+)` \\|").FindAllSubmatch(page, -1) {
		documented = append(documented, string(m[1]))
	}
	endpoints := slices.Clone(newFixture(t).server.endpoints)
	slices.Sort(documented)
	slices.Sort(endpoints)
	is.Equal(documented, endpoints)
	for _, code := range []Code{
		CodeBadRequest, CodeUnauthorised, CodeNotFound, CodeTooLarge, CodeConflict, CodeNoRevision, CodeInvalid,
		CodeChangeIDReused, CodeStoreUnavailable, CodeUnknown, CodeNotOffered, CodeInternal,
	} {
		is.True(regexp.MustCompile("\\| `" + string(code) + "` \\|").Match(page)) // the page lists the code
	}
}
