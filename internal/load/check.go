package load

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// Check is the result of checking a completed answer.
type Check string

// The results of a check.
const (
	// Whole means that the answer is complete and belongs to the request.
	Whole Check = "whole"
	// Foreign means that the answer belongs to another request.
	Foreign Check = "foreign"
	// Partial means that pieces are missing, repeated or out of order.
	Partial Check = "partial"
	// Unchecked means that nothing was available to check.
	Unchecked Check = "unchecked"
)

// digestDigits is the number of hexadecimal digits of the prompt's SHA-256 sum at the
// beginning of a stand-in engine's answer.
const digestDigits = 16

// checkText checks the answer of a stand-in engine. It begins with "[version digest
// attempt] " and continues with the numbered pieces "t2 t3 ...". The first piece
// included, there are as many as the usage counts.
func checkText(prompt, answer string, pieces int) Check {
	head, rest, ok := strings.Cut(answer, "] ")
	names := strings.Fields(strings.TrimPrefix(head, "["))
	if !ok || len(names) != 3 {
		return Partial
	}
	if names[1] != promptDigest(prompt) {
		return Foreign
	}
	tokens := strings.Fields(rest)
	if len(tokens)+1 != pieces {
		return Partial
	}
	for i, token := range tokens {
		if token != "t"+strconv.Itoa(i+2) {
			return Partial
		}
	}
	return Whole
}

func promptDigest(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(sum[:])[:digestDigits]
}

// checkCall checks the answer of a stand-in service, which returns the path of the
// call.
func checkCall(path, answered string) Check {
	if path != answered {
		return Foreign
	}
	return Whole
}
