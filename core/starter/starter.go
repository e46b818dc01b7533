// Package starter begins a daemon: it loads the settings file, or only checks it.
package starter

import (
	"fmt"
	"os"

	"flamingodrift.example/core/loader"
)

// invalidSettings is the exit code for settings that cannot be used.
const invalidSettings = 2

// LoadOrExit reads a settings file into settings. With check it says that they are valid and exits. Settings that are not
// valid are listed on standard error, and the process exits with code 2.
func LoadOrExit[T loader.Checked](file string, check bool, settings T) {
	if err := loader.Load(file, settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(invalidSettings)
	}
	if check {
		fmt.Println("settings are valid")
		os.Exit(0)
	}
}
