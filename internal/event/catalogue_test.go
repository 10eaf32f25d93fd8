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

const page = "../../docs/EVENTS.md"

// blocks are the numbers of each part of the product, a hundred each.
const (
	firstNumber = 1000
	lastNumber  = 1999
)

// row is one line of the page's tables: number, level, event, what to do.
type row struct {
	number int
	level  string
	name   string
	advice string
}

func readPage(t *testing.T) []row {
	t.Helper()
	data, err := os.ReadFile(page)
	is.New(t).NoErr(err)
	var rows []row
	for _, line := range strings.Split(string(data), "\n") {
		cells := strings.Split(strings.Trim(line, "| "), "|")
		number, err := strconv.Atoi(strings.TrimSpace(cells[0]))
		if !strings.HasPrefix(line, "|") || err != nil {
			continue
		}
		if len(cells) != 4 {
			t.Errorf("%s: not four cells: %s", page, line)
			continue
		}
		rows = append(rows, row{number, strings.TrimSpace(cells[1]), strings.TrimSpace(cells[2]), strings.TrimSpace(cells[3])})
	}
	return rows
}

func levelName(l slog.Level) string { return strings.ToLower(l.String()) }

// Somebody on call looks up the number of a log line. The page must have it,
// with the level and the words of the line, and must not tell of events that
// the product does not log.
func TestPageAndCatalogueAgree(t *testing.T) {
	is := is.New(t)
	known := map[int]Event{}
	for _, e := range Catalogue() {
		known[e.Number] = e
	}
	seen := map[int]bool{}
	rows := readPage(t)
	is.True(slices.IsSortedFunc(rows, func(a, b row) int { return cmp.Compare(a.number, b.number) })) // in order
	for _, r := range rows {
		e, ok := known[r.number]
		if !ok || seen[r.number] {
			t.Errorf("%s: %d is not in the catalogue, or stands twice", page, r.number)
			continue
		}
		seen[r.number] = true
		if r.name != e.Name || r.level != levelName(e.Level) || r.advice == "" {
			t.Errorf("%s: %d is %q, %s, with advice; the page has %q, %s, %q", page, e.Number, e.Name, levelName(e.Level), r.name, r.level, r.advice)
		}
	}
	for _, e := range Catalogue() {
		if !seen[e.Number] {
			t.Errorf("%s: add\n| %d | %s | %s | (what to do) |", page, e.Number, levelName(e.Level), e.Name)
		}
	}
}

func TestNumbersAndNamesAreUnique(t *testing.T) {
	is := is.New(t)
	names := map[string]int{}
	for _, e := range Catalogue() {
		is.True(e.Number >= firstNumber && e.Number <= lastNumber)
		is.Equal(names[e.Name], 0) // the name's other number
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
