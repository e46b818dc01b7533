// Package loader reads settings files: JSON with comments and trailing commas.
package loader

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

const maxFileBytes = 1 << 20

// Redacted stands in problems for the value of a token.
const Redacted = "(not shown)"

// Milliseconds converts a setting in milliseconds.
func Milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// Problem is one wrong value in a settings file.
type Problem struct {
	// Path of the value, for example "peers[2].address".
	Path string
	// Value that was found, as text. It must be Redacted for a token.
	Value string
	// Allowed describes what is allowed there.
	Allowed string
	// Note replaces Value and Allowed when the problem is not the value.
	Note string
	// literal is true when Value is written as in the file.
	literal bool
}

// String returns the problem in one line.
func (p Problem) String() string {
	switch {
	case p.Note != "":
		return p.Path + ": " + p.Note
	case p.literal || p.Value == Redacted:
		return fmt.Sprintf("%s: %s is not allowed; allowed: %s", p.Path, shorten(p.Value), p.Allowed)
	default:
		return fmt.Sprintf("%s: %q is not allowed; allowed: %s", p.Path, shorten(p.Value), p.Allowed)
	}
}

func shorten(value string) string {
	if len(value) <= maxShownBytes {
		return value
	}
	return strings.ToValidUTF8(value[:maxShownBytes], "") + "..."
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

// Parse reads settings from memory; file is used in errors only. settings must be a pointer to a struct whose fields
// have json tags; a field with the tag secret:"true" is never shown in an error. Errors are of type *Error.
func Parse[T Checked](file string, data []byte, settings T) error {
	if len(data) > maxFileBytes {
		return &Error{File: file, Cause: fmt.Errorf("file is larger than %d bytes", maxFileBytes)}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return &Error{File: file, Cause: errors.New(position(err) + "not valid JSON with comments")}
	}
	w := &walker{}
	w.walk("", root, reflect.TypeOf(settings).Elem(), false)
	root.Standardize()
	// What does not fit is left out here; the walker has reported it.
	if err := json.Unmarshal(root.Pack(), settings); err != nil && len(w.problems) == 0 {
		return &Error{File: file, Cause: errors.New("the values cannot be read")}
	}
	problems := w.problems
	for _, p := range settings.Check() {
		if !reported(w.problems, p.Path) {
			problems = append(problems, p)
		}
	}
	if len(problems) > 0 {
		return &Error{File: file, Problems: problems}
	}
	return nil
}

// reported says whether a value was already found to be of the wrong type, so that its absence is no further problem.
func reported(problems []Problem, path string) bool {
	for _, p := range problems {
		if p.Path == path || p.Path == wholeFile || strings.HasPrefix(path, p.Path+".") || strings.HasPrefix(path, p.Path+"[") {
			return true
		}
	}
	return false
}

var positions = regexp.MustCompile(`line \d+, column \d+: `)

// position returns where a file is not valid. The rest of the parser's message is left out, because it quotes the file,
// and what it quotes may be a token.
func position(err error) string { return positions.FindString(err.Error()) }
