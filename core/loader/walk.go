package loader

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// maxShownBytes is the length to which a value is shortened in a problem.
const maxShownBytes = 64

// wholeFile is the path of the file's top-level value.
const wholeFile = "(file)"

// walker checks a settings file against the type of the struct that it is decoded into.
type walker struct {
	problems []Problem
}

// walk records everything in value that does not match type t. encoding/json is not enough for that: it stops at
// the first unknown key, ignores the case of keys and lets the last of duplicate keys win.
func (w *walker) walk(path string, value hujson.Value, t reflect.Type, secret bool) {
	switch t.Kind() {
	case reflect.Struct:
		object, ok := value.Value.(*hujson.Object)
		if !ok {
			w.addTypeProblem(path, value, "an object", secret)
			return
		}
		w.walkObject(path, object, t)
	case reflect.Slice:
		list, ok := value.Value.(*hujson.Array)
		if !ok {
			w.addTypeProblem(path, value, "a list", secret)
			return
		}
		for i, element := range list.Elements {
			w.walk(fmt.Sprintf("%s[%d]", path, i), element, t.Elem(), secret)
		}
	default:
		w.walkLiteral(path, value, t, secret)
	}
}

func (w *walker) walkObject(path string, object *hujson.Object, t reflect.Type) {
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		keyPath := strings.TrimPrefix(path+"."+name, ".")
		field, ok := fieldOf(t, name)
		switch {
		case !ok:
			w.problems = append(w.problems, Problem{
				Path: keyPath, Note: "this key is unknown; known: " + strings.Join(keysOf(t), ", "),
			})
		case seen[name]:
			w.problems = append(w.problems, Problem{Path: keyPath, Note: "this key is given twice"})
		default:
			w.walk(keyPath, member.Value, field.Type, field.Tag.Get("secret") == "true")
		}
		seen[name] = true
	}
}

func (w *walker) walkLiteral(path string, value hujson.Value, t reflect.Type, secret bool) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' || json.Unmarshal(literal, reflect.New(t).Interface()) != nil {
		w.addTypeProblem(path, value, allowed(t), secret)
	}
}

func (w *walker) addTypeProblem(path string, value hujson.Value, allowed string, secret bool) {
	if path == "" {
		path = wholeFile
	}
	problem := Problem{Path: path, literal: true, Allowed: allowed}
	switch v := value.Value.(type) {
	case *hujson.Object:
		problem.Value = "an object"
	case *hujson.Array:
		problem.Value = "a list"
	case hujson.Literal:
		problem.Value = string(v)
	}
	if secret {
		problem.Value = Redacted
	}
	w.problems = append(w.problems, problem)
}

func allowed(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "text in quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		return "a whole number of 0 or more"
	case reflect.Float32, reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func keyOf(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

func fieldOf(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if key := keyOf(t.Field(i)); key == name && key != "" {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

func keysOf(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		if key := keyOf(t.Field(i)); key != "" {
			keys = append(keys, key)
		}
	}
	return keys
}
