// Package starter loads or checks the settings file when a daemon starts.
package starter

import (
	"fmt"
	"os"

	"flamingodrift.example/core/loader"
)

// exitInvalidSettings is the exit code for invalid or unreadable settings.
const exitInvalidSettings = 2

// LoadOrExit reads a settings file into settings. If check is set, it prints that the settings are valid and exits with
// code 0. If the settings are invalid, it prints the problems to standard error and exits with code 2.
func LoadOrExit[T loader.Validator](file string, check bool, settings T) {
	if err := loader.Load(file, settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitInvalidSettings)
	}
	if check {
		fmt.Println("settings are valid")
		os.Exit(0)
	}
}
