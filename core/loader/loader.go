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

// Redacted replaces the value of a token in problems.
const Redacted = "(not shown)"

// Milliseconds converts a setting given in milliseconds to a duration.
func Milliseconds(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// Problem is one wrong value in a settings file.
type Problem struct {
	// Path is the path of the value, for example "peers[2].address".
	Path string
	// Value is the value found, as text. For a token it must be Redacted.
	Value string
	// Allowed describes the allowed values.
	Allowed string
	// Note is the message of a problem that is not about the value. It replaces Value and Allowed.
	Note string
	// literal is true if Value is quoted as in the file, so that String does not quote it again.
	literal bool
}

// String returns the problem as one line.
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

// Error describes an unreadable settings file by its cause, or lists all problems of an invalid one.
type Error struct {
	File     string
	Problems []Problem
	Cause    error
}

// Error returns the cause, or one line for each problem.
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

// Validator is implemented by settings that can validate themselves.
type Validator interface {
	// Check fills in defaults and returns every problem.
	Check() []Problem
}

// Load reads a settings file into settings and validates it. Unknown fields are errors. See Parse.
func Load[T Validator](file string, settings T) error {
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

// Parse reads and validates settings from memory; file is used only in errors. settings must be a pointer to a struct
// whose fields have json tags. The value of a field with the tag secret:"true" never appears in an error. Errors are of
// type *Error.
func Parse[T Validator](file string, data []byte, settings T) error {
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
	// json.Unmarshal skips values of the wrong type; the walker has already reported them.
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

// reported reports whether a problem of the value, or of an object or list that contains it, was already found. Such a
// value is missing from the settings, which must not count as a further problem.
func reported(problems []Problem, path string) bool {
	for _, p := range problems {
		if p.Path == path || p.Path == wholeFile ||
			strings.HasPrefix(path, p.Path+".") || strings.HasPrefix(path, p.Path+"[") {
			return true
		}
	}
	return false
}

var positionPattern = regexp.MustCompile(`line \d+, column \d+: `)

// position returns the position prefix of a parser error. The rest of the message is dropped because it quotes the file
// and could reveal a token.
func position(err error) string { return positionPattern.FindString(err.Error()) }
