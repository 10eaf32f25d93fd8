package capacity

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The model copies constants that other packages do not export. If one changes at its source,
// the page becomes wrong without notice. The test compares each copy with its source line.
func TestCopiedConstantsMatchTheirSources(t *testing.T) {
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
			// gofmt changes the spacing of a line if its neighbours change.
			plain := strings.Join(strings.Fields(string(source)), " ")
			is.True(strings.Contains(plain, c.line)) // on failure, update the copy in the model
		})
	}
}
