package baseline

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/example"
)

// The comparison of policies is invalid if a baseline picks another version than its name
// says.
func TestBaselinePoliciesPickTheirVersion(t *testing.T) {
	is := is.New(t)
	doc, err := example.Load("tarifas")
	is.NoErr(err)
	s, err := config.Compile(1, doc)
	is.NoErr(err)
	req := choice.Request{Snapshot: s, Versions: []string{"dues@1", "dues@2", "dues@3"}}
	is.Equal(Best{}.Choose(req).First, "dues@2")
	is.Equal(Cheapest{}.Choose(req).First, "dues@1")
	is.Equal(FixedShare{Best: 0.5}.Choose(req).First, "dues@2")
	req.Random = math.MaxUint64
	is.Equal(FixedShare{Best: 0.5}.Choose(req).First, "dues@1")
	is.Equal(Best{}.Choose(choice.Request{Snapshot: s}).Refusal, choice.RefuseNoVersion)
}
