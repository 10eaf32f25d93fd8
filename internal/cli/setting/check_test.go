package setting

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

type common struct {
	Format string `long:"format" env:"X_FORMAT" accept:"one of text, json"`
}

type sample struct {
	common
	Listen  string   `long:"listen" env:"X_LISTEN" accept:"address" needed:"yes"`
	Peers   []string `long:"peer" env:"X_PEER" accept:"address"`
	URL     string   `long:"url" env:"X_URL" accept:"url"`
	Key     string   `long:"key" env:"X_KEY" accept:"secret" secret:"yes"`
	Hash    string   `long:"hash" env:"X_HASH" accept:"keyhash"`
	ID      string   `long:"id" env:"X_ID" accept:"name"`
	Gap     Duration `long:"gap" env:"X_GAP" accept:"1ms..1h"`
	Batch   Count    `long:"batch" env:"X_BATCH" accept:"1..100"`
	Rate    Number   `long:"rate" env:"X_RATE" accept:"0..1" needed:"yes"`
	Verbose bool     `long:"verbose" env:"X_VERBOSE"`
	args    []string
}

func newSample(t *testing.T, gap, batch, rate string) (s sample) {
	t.Helper()
	is := is.New(t)
	is.NoErr(s.Gap.UnmarshalFlag(gap))
	is.NoErr(s.Batch.UnmarshalFlag(batch))
	is.NoErr(s.Rate.UnmarshalFlag(rate))
	return s
}

// If only the first fault were reported, each invalid setting would cost the operator one more
// start. All must be reported together. The value of an invalid secret must not be printed.
func TestAllFaultsAreReportedTogether(t *testing.T) {
	is := is.New(t)
	s := newSample(t, "5", "0", "NaN")
	s.Format = "xml"
	s.Peers = []string{"127.0.0.1:1", "localhost:1"}
	s.URL = "127.0.0.1:80"
	s.Key = "tooshort"
	s.Hash = "ana=zz"
	s.ID = "a b"
	s.args = nil
	is.Equal(Check(&s).Error(), `10 settings cannot be used:
  --format (X_FORMAT) is "xml"; accepted: one of text, json
  --listen (X_LISTEN) is missing; accepted: an IP and port, for example 127.0.0.1:8080
  --peer (X_PEER) is "localhost:1"; accepted: an IP and port, for example 127.0.0.1:8080
  --url (X_URL) is "127.0.0.1:80"; accepted: a base URL, for example http://127.0.0.1:8070
  --key (X_KEY) is "(not shown, 8 characters)"; accepted: at least 64 hexadecimal digits (32 bytes)
  --hash (X_HASH) is "ana=zz"; accepted: [NAME=]HASH, the SHA-256 sum of a key in 64 hexadecimal digits
  --id (X_ID) is "a b"; accepted: 1 to 64 letters, digits and . _ - @ + :
  --gap (X_GAP) is "5"; accepted: 1ms to 1h
  --batch (X_BATCH) is "0"; accepted: 1 to 100
  --rate (X_RATE) is "NaN"; accepted: 0 to 1`)
}

func TestValidSettingsHaveNoFaults(t *testing.T) {
	is := is.New(t)
	s := newSample(t, "5ms", "100", "0.5")
	s.Listen = "[::1]:0"
	s.Format = "json"
	s.URL = "http://127.0.0.1:8070/x"
	is.Equal(len(Check(&s)), 0)
	is.Equal(s.Gap.Get(), 5*time.Millisecond)
	is.Equal(s.Batch.Get(), 100)
	is.Equal(s.Batch.Uint64(), uint64(100))
	is.Equal(s.Rate.Get(), 0.5)
	var empty sample
	is.Equal(len(Check(&empty)), 2) // the required settings: listen and rate
}
