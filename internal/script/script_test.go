package script

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"gotest.tools/v3/assert"
)

var binaries string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runAll(m))
}

// maxParallel is the number of scenarios that run at once. Each starts about a
// dozen processes.
const maxParallel = "2"

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "eel")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	out, err := exec.Command("go", "build", "-o", dir+"/", "../../cmd/...").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	if err := flag.Set("test.parallel", maxParallel); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

func TestScript(t *testing.T) {
	examples, err := filepath.Abs("../../examples")
	assert.NilError(t, err)
	data, err := filepath.Abs("testdata")
	assert.NilError(t, err)
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			e.Setenv("EXAMPLES", examples)
			e.Setenv("DATA", data)
			e.Setenv("PATH", binaries+string(os.PathListSeparator)+os.Getenv("PATH"))
			d := newDeployment(e.WorkDir)
			e.Values[deploymentKey{}] = d
			e.Defer(d.close)
			return nil
		},
		Cmds: commands,
	})
}
