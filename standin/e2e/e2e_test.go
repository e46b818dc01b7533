// Package e2e runs scripted failure scenarios against a cell of separate processes. The scripts are in testdata; the
// comments of the functions in commands_test.go describe their commands.
package e2e

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// programsFolder is the folder of the programs built by "make build", which the Makefile runs first.
const programsFolder = "../../build"

func TestScenarios(t *testing.T) {
	if _, err := os.Stat(programsFolder + "/controld"); err != nil {
		t.Fatal("the programs are missing; run make build")
	}
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		Setup:               setup,
		Cmds:                commands,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
	})
}
