package event

import (
	"cmp"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const catalogueFile = "../../docs/EVENTS.md"

// firstNumber and lastNumber are the range of event numbers. Each part of the product
// has a block of a hundred numbers in it.
const (
	firstNumber = 1000
	lastNumber  = 1999
)

// row is a row of the tables in docs/EVENTS.md: number, level, event, what to do.
type row struct {
	number int
	level  string
	name   string
	advice string
}

func readCatalogueFile(t *testing.T) []row {
	t.Helper()
	data, err := os.ReadFile(catalogueFile)
	is.New(t).NoErr(err)
	var rows []row
	for _, line := range strings.Split(string(data), "\n") {
		cells := strings.Split(strings.Trim(line, "| "), "|")
		number, err := strconv.Atoi(strings.TrimSpace(cells[0]))
		if !strings.HasPrefix(line, "|") || err != nil {
			continue
		}
		if len(cells) != 4 {
			t.Errorf("%s: row does not have four cells: %s", catalogueFile, line)
			continue
		}
		rows = append(rows, row{number, strings.TrimSpace(cells[1]), strings.TrimSpace(cells[2]), strings.TrimSpace(cells[3])})
	}
	return rows
}

func levelName(l slog.Level) string { return strings.ToLower(l.String()) }

// Operators look up event numbers in docs/EVENTS.md. Every event must be there with the
// log's level and name, and every documented event must exist.
func TestDocumentedEventsMatchCatalogue(t *testing.T) {
	is := is.New(t)
	byNumber := map[int]Event{}
	for _, e := range Catalogue() {
		byNumber[e.Number] = e
	}
	listed := map[int]bool{}
	rows := readCatalogueFile(t)
	is.True(slices.IsSortedFunc(rows, func(a, b row) int { return cmp.Compare(a.number, b.number) })) // in order
	for _, r := range rows {
		e, ok := byNumber[r.number]
		if !ok || listed[r.number] {
			t.Errorf("%s: %d is not in the catalogue, or is listed twice", catalogueFile, r.number)
			continue
		}
		listed[r.number] = true
		if r.name != e.Name || r.level != levelName(e.Level) || r.advice == "" {
			t.Errorf("%s: %d is %q, %s, with advice; the page has %q, %s, %q", catalogueFile, e.Number, e.Name, levelName(e.Level), r.name, r.level, r.advice)
		}
	}
	for _, e := range Catalogue() {
		if !listed[e.Number] {
			t.Errorf("%s: add\n| %d | %s | %s | (what to do) |", catalogueFile, e.Number, levelName(e.Level), e.Name)
		}
	}
}

func TestNumbersAndNamesAreUniqueAndInRange(t *testing.T) {
	is := is.New(t)
	names := map[string]int{}
	for _, e := range Catalogue() {
		is.True(e.Number >= firstNumber && e.Number <= lastNumber)
		is.Equal(names[e.Name], 0) // the other event with the same name
		names[e.Name] = e.Number
	}
}

func TestLogWritesNumberAndName(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	log := slog.New(slog.NewTextHandler(&text, &slog.HandlerOptions{ReplaceAttr: withoutTime}))
	ProcessReady.Log(log, slog.String("id", "e1"))
	is.Equal(text.String(), fmt.Sprintf("level=INFO msg=%q event=%d id=e1\n", ProcessReady.Name, ProcessReady.Number))
}

func withoutTime(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.TimeKey {
		return slog.Attr{}
	}
	return a
}
