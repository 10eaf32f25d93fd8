package capacity

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The model knows some numbers that other packages do not export. One changes
// there, the page stays as it was, and nobody sees that it is wrong. Each copy
// is held against the line that it was taken from.
func TestCopiedConstantsStandInTheirSources(t *testing.T) {
	for _, c := range []struct{ file, line string }{
		{"ledger/billing.go", "maxSends = 2"},
		{"ledger/route.go", "epoch = 5 * time.Second"},
		{"ledger/settings.go", "holdCopies = 2"},
		{"confsync/noticing.go", "noticeTime = 10 * time.Minute"},
		{"admission/rate_settings.go", "defaultRatePeriod = time.Second"},
		{"balance/defaults.go", "defaultPollsPerSecond = 4"},
		{"balance/defaults.go", "defaultSubsetSize = 64"},
		{"choice/share/settings.go", "largeGroupReportInterval = time.Minute"},
		{"choice/share/settings.go", "archiveInterval = time.Minute"},
		{"choice/share/settings.go", "holdScanInterval = 2 * time.Second"},
		{"choice/share/settings.go", "allNodesScanInterval = time.Minute"},
		{"rollout/loop.go", "watchers = 3"},
		{"rollout/row.go", "renewals = 3"},
	} {
		t.Run(c.line, func(t *testing.T) {
			is := is.New(t)
			source, err := os.ReadFile("../" + c.file)
			is.NoErr(err)
			// The formatter aligns lines anew whenever a neighbour changes.
			plain := strings.Join(strings.Fields(string(source)), " ")
			is.True(strings.Contains(plain, c.line)) // else take the new number into the model
		})
	}
}
