package scenario

import (
	"flag"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// scripts is the folder of the scenarios to run. The scenarios in testdata/pending do not
// pass yet.
var scripts = flag.String("scripts", "testdata/script", "folder of the scenarios to run")

type command func(*testscript.TestScript, *cluster, bool, []string)

var commands = map[string]command{
	"relays":      cmdRelays,
	"platform":    cmdPlatform,
	"engine":      cmdEngine,
	"service":     cmdService,
	"entry":       cmdEntry,
	"sigkill":     cmdSigkill,
	"sigterm":     cmdSigterm,
	"freeze":      cmdFreeze,
	"thaw":        cmdThaw,
	"cut":         cmdCut,
	"heal":        cmdHeal,
	"slow":        cmdSlow,
	"fault":       cmdFault,
	"limits":      cmdLimits,
	"quality":     cmdQuality,
	"admin":       cmdAdmin,
	"call":        cmdCall,
	"callservice": cmdCallService,
	"join":        cmdJoin,
	"readon":      cmdReadOn,
	"load":        cmdLoad,
	"mark":        cmdMark,
	"leave":       cmdLeave,
	"unlist":      cmdUnlist,
	"await":       cmdAwait,
	"expect":      cmdExpect,
}

// TestScripts runs each script of the folder against real processes. The comment at the head
// of a script names the failure that it guards against.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                *scripts,
		Setup:              setup,
		Cmds:               bind(commands),
		RequireUniqueNames: true,
	})
}

type clusterKey struct{}

// failer is the part of *testing.T that [testscript.T] lacks.
type failer interface{ Failed() bool }

func setup(env *testscript.Env) error {
	c := newCluster(filepath.Clean(env.WorkDir))
	env.Values[clusterKey{}] = c
	t := env.T()
	env.Defer(func() {
		if t.(failer).Failed() {
			t.Log("processes:\n" + c.processorTimes())
		}
		err := c.close()
		if err != nil {
			t.Log(err)
		}
		if err != nil || t.(failer).Failed() {
			c.keepLogs(t)
		}
		if err != nil {
			t.FailNow()
		}
	})
	return writeExamples(env.WorkDir)
}

func bind(commands map[string]command) map[string]func(*testscript.TestScript, bool, []string) {
	bound := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range commands {
		bound[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			run(ts, ts.Value(clusterKey{}).(*cluster), neg, args)
		}
	}
	return bound
}
