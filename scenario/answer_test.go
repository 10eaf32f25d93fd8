package scenario

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/standin/engine"
)

// checkAnswer reports an answer that is not the whole answer to the text: the
// stand-in engine names the version, the text's digest and the attempt in the
// first piece and numbers the others.
func checkAnswer(text, answer, version string) error {
	head, rest, ok := strings.Cut(answer, "] ")
	names := strings.Fields(strings.TrimPrefix(head, "["))
	if !ok || len(names) != 3 {
		return eris.Errorf("answer has no head: %q", answer)
	}
	if names[0] != version {
		return eris.Errorf("answer of version %s came as %s", names[0], version)
	}
	if want := engine.Digest(text); names[1] != want {
		return eris.Errorf("foreign answer: digest %s, not %s", names[1], want)
	}
	for i, piece := range strings.Fields(rest) {
		if want := "t" + strconv.Itoa(i+2); piece != want {
			return eris.Errorf("piece %s where %s belongs: %q", piece, want, answer)
		}
	}
	return nil
}

// checkCount reports an answer with fewer or more pieces than its usage says.
func checkCount(answer string, tokens int) error {
	_, rest, _ := strings.Cut(answer, "] ")
	if got := len(strings.Fields(rest)) + 1; got != tokens {
		return eris.Errorf("answer has %d pieces of %d: %q", got, tokens, answer)
	}
	return nil
}
