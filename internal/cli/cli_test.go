package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/hickorybank/hickorybank/internal/cli/setting"
)

func TestMain(m *testing.M) {
	if os.Getenv(runAsCommandVariable) != "" {
		os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	for _, pair := range os.Environ() {
		name, _, _ := strings.Cut(pair, "=")
		if strings.HasPrefix(name, "HICKORYBANK_") {
			_ = os.Unsetenv(name) // tests set the variables that they need
		}
	}
	goleak.VerifyTestMain(m)
}

// commandResult is the exit code and the output of a command.
type commandResult struct {
	code     int
	out, err string
}

func runCommand(args ...string) commandResult {
	var out, errOut bytes.Buffer
	code := Main(args, &out, &errOut)
	return commandResult{code: code, out: out.String(), err: errOut.String()}
}

func tempFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestExitCodes(t *testing.T) {
	good := tempFile(t, "good.json", runCommand("config", "example").out)
	bad := tempFile(t, "bad.json", `{"preset":"p","prestes":[]}`)
	cases := []struct {
		args []string
		code int
		part string // of either output
	}{
		{[]string{"version"}, 0, "hickorybank"},
		{[]string{"--help"}, 0, "hickorybank dev --deployment tarifas"},
		{[]string{"entry", "--help"}, 0, "HICKORYBANK_PEER_LISTEN"},
		{[]string{"config", "check", good}, 0, "is valid"},
		{[]string{"config", "check", good, "--against", good, "--json"}, 0, `"warnings": `},
		{[]string{"config", "check", bad}, 1, "prestes: is not a known field"},
		{[]string{"config", "check", bad + "gone"}, 1, "no such file"},
		{[]string{"config", "check"}, 2, "FILE"},
		{[]string{"version", "now"}, 2, "unexpected argument: now"},
		{[]string{"nonsense"}, 2, "nonsense"},
		{[]string{}, 2, "Please specify"},
		{[]string{"entry", "--nonsense"}, 2, "nonsense"},
		{[]string{"entry", "--listen", "here"}, 2, `--listen (HICKORYBANK_LISTEN) is "here"; accepted: an IP and port`},
		{[]string{"entry"}, 2, "4 settings cannot be used"},
		{[]string{"standin", "upstream", "--id", "s", "--failure-domain", "d", "--kind", "service"}, 2, "--service (HICKORYBANK_SERVICE) is missing"},
		{[]string{"standin", "platform", "--writes=-1", "--list-lag", "soon"}, 2, "2 settings cannot be used"},
		{[]string{"admin", "nodes", "--admin", "http://127.0.0.1:1", "--operator-key", "k"}, 1, "gave no answer"},
		{[]string{"admin", "nodes"}, 2, "--operator-key (HICKORYBANK_OPERATOR_KEY) is missing"},
	}
	for _, c := range cases {
		t.Run(strings.Join(c.args, " "), func(t *testing.T) {
			is := is.New(t)
			got := runCommand(c.args...)
			is.Equal(got.code, c.code)
			is.True(strings.Contains(got.out+got.err, c.part)) // the output has the part
		})
	}
}

// Each flag must have the environment variable of its name, a description and a valid accept tag.
// Each command must have a help text with an example.
func TestEveryFlagHasVariableAndDescription(t *testing.T) {
	is := is.New(t)
	parser := newParser(&env{})
	var walk func(c *flags.Command)
	walk = func(c *flags.Command) {
		for _, o := range c.Options() {
			want := "HICKORYBANK_" + strings.ToUpper(strings.ReplaceAll(o.LongName, "-", "_"))
			is.Equal(o.EnvDefaultKey, want) // of the flag
			is.True(o.Description != "")    // of the flag
		}
		is.True(c.LongDescription != "") // of the command
		if len(c.Commands()) == 0 && !strings.Contains(c.LongDescription, "Example") {
			t.Error(c.Name, "has no example in its help")
		}
		for _, sub := range c.Commands() {
			walk(sub)
		}
	}
	for _, c := range parser.Commands() {
		walk(c)
	}
	for _, c := range commands(&env{}) {
		checkTags(c)
	}
}

// checkTags panics if an accept tag of the command is invalid.
func checkTags(c command) {
	if c.data != nil {
		setting.Check(c.data)
	}
	for _, sub := range c.sub {
		checkTags(sub)
	}
}

func TestSettingsComeFromVariables(t *testing.T) {
	is := is.New(t)
	t.Setenv("HICKORYBANK_LISTEN", "nowhere")
	t.Setenv("HICKORYBANK_SESSION_KEY", "short,"+strings.Repeat("ab", 32))
	t.Setenv("HICKORYBANK_OPERATOR_KEY_HASH", "my-own-key")
	t.Setenv("HICKORYBANK_ADMIN_LISTEN", "127.0.0.1:0")
	got := runCommand("entry", "--id", "e1", "--failure-domain", "manga", "--platform", "http://127.0.0.1:1")
	is.Equal(got.code, 2)
	is.Equal(strings.Count(got.err, "\n"), 4) // a heading and three faults
	is.True(!strings.Contains(got.err, "my-own-key"))
	is.True(!strings.Contains(runCommand("entry", "--help").out, "short"))
}
