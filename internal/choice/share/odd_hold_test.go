package share

import (
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/choice"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

// Fails if one odd row hides the holds of other versions from the nodes that read the table.
func TestOddHoldRowIsUnreadableByItself(t *testing.T) {
	const levels = 200_000
	for kind, odd := range map[string]string{
		"nested": `{"term":` + strings.Repeat("[", levels), "nested unknown": `{"later":` + strings.Repeat("[", levels) + strings.Repeat("]", levels) + "}",
		"number too large": `{"term":18446744073709551616}`, "negative": `{"term":-1}`, "no JSON": "\xff\x00",
	} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			table := memory.New()
			chooser := choice.New(choice.Settings{Node: "e1", Epoch: 1})
			h := &holds{deps: Deps{Chooser: chooser, Table: table, Self: platform.VM{ID: "e1"}, Members: func() []platform.VM { return nil }, Log: slog.New(slog.DiscardHandler)}}
			_, err := table.Commit(t.Context(), platform.Txn{Writes: []platform.Write{{Key: holdPrefix + "m", Value: []byte(odd)}}})
			is.NoErr(err)
			for _, version := range []string{"a", "z"} {
				_, err := recordHold(t.Context(), table, choice.Hold{Version: version, Term: 1, Node: "e2"})
				is.NoErr(err)
				h.scan(t.Context(), time.Now())
				is.True(!chooser.ApplyHold(choice.Hold{Version: version, Term: 1, Node: "e2"})) // it is known already
			}
		})
	}
}
