package scenarios

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"aspenyard.example/cli"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"aspenyard": func() { os.Exit(cli.Main()) },
	})
}

// parallelScripts limits the scripts that run at once, and with them the number of processes.
const parallelScripts = 3

var scriptSlots = make(chan struct{}, parallelScripts)

func TestScenarios(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(scripts) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, script := range scripts {
		name := filepath.Base(script[:len(script)-len(".txtar")])
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scriptSlots <- struct{}{}
			defer func() { <-scriptSlots }()
			testscript.Run(t, testscript.Params{
				Files: []string{script},
				Setup: setup,
				Cmds:  commands,
			})
		})
	}
}
