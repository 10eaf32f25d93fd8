package capacity

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// errMalformedPage is returned for a page without readable slopes or markers.
var errMalformedPage = eris.New("malformed capacity page")

// slopeColumns is the number of columns in the table of slopes.
const slopeColumns = 8

// Parse reads the measured slopes back from a rendered page.
func Parse(page string) (Slopes, error) {
	_, rest, found := strings.Cut(page, "### "+slopesTitle+"\n")
	if !found {
		return nil, eris.Wrap(errMalformedPage, "no section "+slopesTitle)
	}
	var all Slopes
	for line := range strings.Lines(rest) {
		if strings.HasPrefix(line, "### ") {
			break
		}
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		s, err := parseSlope(line)
		if err != nil {
			return nil, err
		}
		all = append(all, s)
	}
	if len(all) == 0 {
		return nil, eris.Wrap(errMalformedPage, "no slopes")
	}
	return all, nil
}

func parseSlope(line string) (Slope, error) {
	cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), " | ")
	if len(cells) != slopeColumns {
		return Slope{}, eris.Wrap(errMalformedPage, line)
	}
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	s := Slope{Name: strings.Trim(cells[0], "`"), What: cells[1], Per: cells[2], Unit: Unit(cells[3])}
	for _, text := range strings.Fields(cells[4]) {
		p, err := parsePoint(text)
		if err != nil {
			return Slope{}, err
		}
		s.Points = append(s.Points, p)
	}
	return s, nil
}

func parsePoint(text string) (Point, error) {
	size, value, found := strings.Cut(text, ":")
	if !found {
		return Point{}, eris.Wrap(errMalformedPage, text)
	}
	x, err := strconv.ParseFloat(size, 64)
	if err != nil {
		return Point{}, eris.Wrap(err, text)
	}
	y, err := strconv.ParseFloat(value, 64)
	return Point{Size: x, Value: y}, eris.Wrap(err, text)
}
