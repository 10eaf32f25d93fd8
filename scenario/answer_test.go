package scenario

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/standin/engine"
)

// checkAnswer returns an error unless answer is the complete answer to text from the
// expected version. The first piece of a stand-in engine's answer holds the version, the
// digest of the text and the attempt; the later pieces are numbered.
func checkAnswer(text, answer, version string) error {
	head, rest, ok := strings.Cut(answer, "] ")
	names := strings.Fields(strings.TrimPrefix(head, "["))
	if !ok || len(names) != 3 {
		return eris.Errorf("answer has no header piece: %q", answer)
	}
	if names[0] != version {
		return eris.Errorf("answer is from version %s, but the header says %s", names[0], version)
	}
	if want := engine.Digest(text); names[1] != want {
		return eris.Errorf("answer to another request: digest %s, want %s", names[1], want)
	}
	for i, piece := range strings.Fields(rest) {
		if want := "t" + strconv.Itoa(i+2); piece != want {
			return eris.Errorf("got piece %s, want %s: %q", piece, want, answer)
		}
	}
	return nil
}

// checkCount returns an error if the number of pieces differs from the usage in tokens.
func checkCount(answer string, tokens int) error {
	_, rest, _ := strings.Cut(answer, "] ")
	if got := len(strings.Fields(rest)) + 1; got != tokens {
		return eris.Errorf("answer has %d pieces, want %d: %q", got, tokens, answer)
	}
	return nil
}
