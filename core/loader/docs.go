package loader

import (
	"reflect"
	"regexp"
	"slices"
)

var documentedKey = regexp.MustCompile("(?m)^\\| `([a-z_.\\[\\]]+)` \\|")

// CompareDocs compares the keys in the tables of a docs page with those of settings, a pointer to a struct, and returns
// the differences in both directions. Table rows start with the key in backquotes; a key in a list of objects is
// written as "list[].key".
func CompareDocs(page string, settings any) []string {
	documented := []string{}
	for _, row := range documentedKey.FindAllStringSubmatch(page, -1) {
		documented = append(documented, row[1])
	}
	known := keyPaths("", reflect.TypeOf(settings).Elem())
	var differences []string
	for _, key := range documented {
		if !slices.Contains(known, key) {
			differences = append(differences, key+" is documented but unknown")
		}
	}
	for _, key := range known {
		if !slices.Contains(documented, key) {
			differences = append(differences, key+" is not documented")
		}
	}
	return differences
}

func keyPaths(prefix string, t reflect.Type) []string {
	var list []string
	for i := range t.NumField() {
		field := t.Field(i)
		key, kind := prefix+keyOf(field), field.Type
		switch {
		case keyOf(field) == "":
		case kind.Kind() == reflect.Slice && kind.Elem().Kind() == reflect.Struct:
			list = append(list, keyPaths(key+"[].", kind.Elem())...)
		case kind.Kind() == reflect.Struct:
			list = append(list, keyPaths(key+".", kind)...)
		default:
			list = append(list, key)
		}
	}
	return list
}
