// Package loader reads settings files: JSON with comments and trailing commas.
package loader

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/tailscale/hujson"
)

const maxFileBytes = 1 << 20

// Problem is one wrong value in a settings file.
type Problem struct {
	// Path of the value, for example "peers[2].address".
	Path string
	// Value that was found, as text.
	Value string
	// Allowed describes what is allowed there.
	Allowed string
}

// String returns the problem in one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: %q is not allowed; allowed: %s", p.Path, p.Value, p.Allowed)
}

// Error lists everything that is wrong with a settings file.
type Error struct {
	File     string
	Problems []Problem
	Cause    error
}

// Error returns one line for each problem.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("settings %s: %v", e.File, e.Cause)
	}
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return fmt.Sprintf("settings %s:\n  %s", e.File, strings.Join(lines, "\n  "))
}

// Unwrap returns the cause of an unreadable file.
func (e *Error) Unwrap() error { return e.Cause }

// Checked is implemented by settings that can list their problems.
type Checked interface {
	// Check fills in defaults and returns every problem.
	Check() []Problem
}

// Load reads a settings file into settings and checks it whole. Unknown fields are errors.
func Load[T Checked](file string, settings T) error {
	f, err := os.Open(file)
	if err != nil {
		return &Error{File: file, Cause: err}
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return &Error{File: file, Cause: err}
	}
	return Parse(file, data, settings)
}

// Parse reads settings from memory; file is used in errors only.
func Parse[T Checked](file string, data []byte, settings T) error {
	if len(data) > maxFileBytes {
		return &Error{File: file, Cause: fmt.Errorf("file is larger than %d bytes", maxFileBytes)}
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return &Error{File: file, Cause: err}
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(settings); err != nil {
		return &Error{File: file, Cause: describe(err)}
	}
	if problems := settings.Check(); len(problems) > 0 {
		return &Error{File: file, Problems: problems}
	}
	return nil
}

func describe(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return fmt.Errorf("%s: %s is not allowed; allowed: %s", wrongType.Field, wrongType.Value, wrongType.Type)
	}
	return err
}
