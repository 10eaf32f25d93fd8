package load

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

// Check is what an answer turned out to be.
type Check string

// The results of a check.
const (
	// Whole: all of it, and to this request.
	Whole Check = "whole"
	// Foreign: to another request.
	Foreign Check = "foreign"
	// Partial: not all of it, or pieces twice or out of order.
	Partial Check = "partial"
	// Unchecked: there was nothing to check it by.
	Unchecked Check = "unchecked"
)

// digestDigits is how many digits of the prompt's SHA-256 sum a stand-in
// engine's answer begins with.
const digestDigits = 16

// checkText checks the answer of a stand-in engine: it begins with
// "[version digest attempt] " and goes on with numbered pieces "t2 t3 ...", in
// all as many as its usage counts.
func checkText(prompt, answer string, pieces int) Check {
	head, rest, ok := strings.Cut(answer, "] ")
	names := strings.Fields(strings.TrimPrefix(head, "["))
	if !ok || len(names) != 3 {
		return Partial
	}
	if names[1] != digestOf(prompt) {
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

func digestOf(prompt string) string {
	sum := sha256.Sum256([]byte(prompt))
	return hex.EncodeToString(sum[:])[:digestDigits]
}

// checkCall checks the answer of a stand-in service: it repeats the path.
func checkCall(path, answered string) Check {
	if path != answered {
		return Foreign
	}
	return Whole
}
