package loader

import (
	"reflect"
	"regexp"
	"slices"
)

var docRow = regexp.MustCompile("(?m)^\\| `([a-z_.\\[\\]]+)` \\|")

// CompareDocs returns the keys that a table of a docs page lists and settings, a pointer to a struct, does not have, and
// the other way round. Rows begin with the key in backquotes; keys of a list of objects are written as "list[].key".
func CompareDocs(page string, settings any) []string {
	documented := []string{}
	for _, row := range docRow.FindAllStringSubmatch(page, -1) {
		documented = append(documented, row[1])
	}
	present := paths("", reflect.TypeOf(settings).Elem())
	var differences []string
	for _, key := range documented {
		if !slices.Contains(present, key) {
			differences = append(differences, key+" is documented but unknown")
		}
	}
	for _, key := range present {
		if !slices.Contains(documented, key) {
			differences = append(differences, key+" is not documented")
		}
	}
	return differences
}

func paths(prefix string, t reflect.Type) []string {
	var list []string
	for i := range t.NumField() {
		field := t.Field(i)
		key, kind := prefix+keyOf(field), field.Type
		switch {
		case keyOf(field) == "":
		case kind.Kind() == reflect.Slice && kind.Elem().Kind() == reflect.Struct:
			list = append(list, paths(key+"[].", kind.Elem())...)
		case kind.Kind() == reflect.Struct:
			list = append(list, paths(key+".", kind)...)
		default:
			list = append(list, key)
		}
	}
	return list
}
