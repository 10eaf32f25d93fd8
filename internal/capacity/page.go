package capacity

import (
	"strings"

	"github.com/rotisserie/eris"
)

// The markers of the generated part of a page.
const (
	beginMarker = "<!-- capacity: generated, begin -->"
	endMarker   = "<!-- capacity: generated, end -->"
)

// Generated returns the part of a page between its markers.
func Generated(page string) (string, error) {
	_, rest, found := strings.Cut(page, beginMarker+"\n")
	if !found {
		return "", eris.Wrap(errPage, "no "+beginMarker)
	}
	part, _, found := strings.Cut(rest, endMarker)
	if !found {
		return "", eris.Wrap(errPage, "no "+endMarker)
	}
	return part, nil
}

// Replace puts another part between the markers of a page.
func Replace(page, part string) (string, error) {
	if _, err := Generated(page); err != nil {
		return "", err
	}
	before, rest, _ := strings.Cut(page, beginMarker+"\n")
	_, after, _ := strings.Cut(rest, endMarker)
	return before + beginMarker + "\n" + part + endMarker + after, nil
}
