package capacity

import (
	"strings"

	"github.com/rotisserie/eris"
)

// Markers of the generated part of a page.
const (
	beginMarker = "<!-- capacity: generated, begin -->"
	endMarker   = "<!-- capacity: generated, end -->"
)

// Generated returns the text between the markers of a page.
func Generated(page string) (string, error) {
	_, rest, found := strings.Cut(page, beginMarker+"\n")
	if !found {
		return "", eris.Wrap(errMalformedPage, "no "+beginMarker)
	}
	part, _, found := strings.Cut(rest, endMarker)
	if !found {
		return "", eris.Wrap(errMalformedPage, "no "+endMarker)
	}
	return part, nil
}

// Replace returns the page with the text between its markers replaced by part. It fails if a
// marker is missing.
func Replace(page, part string) (string, error) {
	if _, err := Generated(page); err != nil {
		return "", err
	}
	before, rest, _ := strings.Cut(page, beginMarker+"\n")
	_, after, _ := strings.Cut(rest, endMarker)
	return before + beginMarker + "\n" + part + endMarker + after, nil
}
