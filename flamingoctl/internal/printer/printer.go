// Package printer prints responses of the operators' API as tables and sentences, or as JSON.
package printer

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Printer writes responses to an io.Writer.
type Printer struct {
	out  io.Writer
	json bool
}

// New returns a Printer. With asJSON it prints responses as indented JSON and changes nothing else.
func New(out io.Writer, asJSON bool) *Printer { return &Printer{out: out, json: asJSON} }

// column is one column of a table: its title, the JSON field that it shows, and how to format the value; without
// format, the value is printed as it is.
type column struct {
	title, field string
	format       func(any) string
}

// tables maps an action to the columns of its response.
var tables = map[string][]column{
	"list": {
		{title: "TASK", field: "task"},
		{title: "TEAM", field: "team"},
		{title: "KIND", field: "kind"},
		{title: "STATE", field: "state"},
		{title: "WORKER", field: "worker"},
		{title: "REASON", field: "reason"},
		{title: "FAILURES", field: "failures"},
		{title: "SINCE", field: "since_unix_ms", format: unixMs},
	},
	"why": {{title: "TASK", field: "task"}, {title: "STATE", field: "state"}, {title: "WHY", field: "sentence"}},
	"waiting": {
		{title: "JOB", field: "job"},
		{title: "TEAM", field: "team"},
		{title: "WAITING", field: "tasks"},
		{title: "RUNNING", field: "running"},
		{title: "FAILURES", field: "failures"},
		{title: "REASON", field: "reason"},
		{title: "SINCE", field: "since_unix_ms", format: unixMs},
		{title: "WHY", field: "sentence"},
	},
	"queues": {
		{title: "QUEUE", field: "queue"},
		{title: "PRIORITY", field: "priority"},
		{title: "WAITING", field: "waiting_jobs"},
		{title: "BEGUN", field: "running_jobs"},
		{title: "ON WORKERS", field: "running_tasks"},
		{title: "LATE", field: "late_jobs"},
		{title: "WHY", field: "reasons", format: counts},
		{title: "NOTE", field: "sentence"},
	},
	"workspaces": {
		{title: "WORKSPACE", field: "workspace"},
		{title: "WEIGHT", field: "weight"},
		{title: "WAITING", field: "waiting_jobs"},
		{title: "BEGUN", field: "running_jobs"},
		{title: "ON WORKERS", field: "running_tasks"},
		{title: "MILLICORES", field: "used_cpu_millis"},
		{title: "LIMIT", field: "max_cpu_millis"},
		{title: "MB", field: "used_memory_mb"},
		{title: "LIMIT", field: "max_memory_mb"},
		{title: "KEYS", field: "keys"},
		{title: "NOTE", field: "sentence"},
	},
	"targets": {
		{title: "TARGET", field: "name"},
		{title: "SERVICE", field: "service"},
		{title: "STATE", field: "state"},
		{title: "SLOTS", field: "slots"},
		{title: "OWNER", field: "owner"},
		{title: "ADDRESS", field: "address"},
		{title: "NOTE", field: "sentence"},
	},
	"hosts": {
		{title: "NAME", field: "name"},
		{title: "ROLE", field: "role"},
		{title: "STATE", field: "state"},
		{title: "FAILURE DOMAIN", field: "failure_domain"},
		{title: "RACK", field: "rack"},
		{title: "NOTE", field: "sentence"},
	},
	"history": {
		{title: "REVISION", field: "revision"},
		{title: "AT", field: "at_unix_ms", format: unixMs},
		{title: "OPERATOR", field: "operator"},
		{title: "CHANGE", field: "text"},
	},
}

// counts formats an object of numbers, the largest first.
func counts(value any) string {
	object, _ := value.(map[string]any)
	names := slices.Collect(maps.Keys(object))
	number := func(name string) int64 {
		n, _ := object[name].(json.Number).Int64()
		return n
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(number(b), number(a)), cmp.Compare(a, b)) })
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", name, number(name))
	}
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ", ")
}

// unixMs formats Unix milliseconds as a UTC time.
func unixMs(value any) string {
	n, err := value.(json.Number).Int64()
	if err != nil {
		return ""
	}
	return time.UnixMilli(n).UTC().Format(time.RFC3339)
}

// Print prints the response to an action.
func (p *Printer) Print(action string, answer []byte) error {
	if p.json {
		var indented bytes.Buffer
		if err := json.Indent(&indented, answer, "", "  "); err != nil {
			return fmt.Errorf("indent answer: %w", err)
		}
		_, err := fmt.Fprintln(p.out, indented.String())
		return err
	}
	if columns, ok := tables[action]; ok && action != "why" {
		var rows []map[string]any
		if err := decode(answer, &rows); err != nil {
			return err
		}
		return p.table(columns, rows)
	}
	var object map[string]any
	if err := decode(answer, &object); err != nil {
		return err
	}
	switch text := formats[action]; {
	case action == "why":
		return p.why(object)
	case changes[action]:
		printAccepted(p.out, object)
	case text != nil:
		text(p.out, object)
	default:
		return fmt.Errorf("no text format for the response to %q; use -o json", action)
	}
	return nil
}

// why prints the sentences of a response and then its tasks.
func (p *Printer) why(answer map[string]any) error {
	printSentences(p.out, answer)
	tasks, _ := answer["tasks"].([]any)
	rows := make([]map[string]any, 0, len(tasks))
	for _, task := range tasks {
		if row, ok := task.(map[string]any); ok {
			rows = append(rows, row)
		}
	}
	if len(rows) == 0 {
		return nil
	}
	return p.table(tables["why"], rows)
}

func (p *Printer) table(columns []column, rows []map[string]any) error {
	if len(rows) == 0 {
		_, err := fmt.Fprintln(p.out, "(none)")
		return err
	}
	w := tabwriter.NewWriter(p.out, 0, 4, 2, ' ', 0)
	titles := make([]string, 0, len(columns))
	for _, c := range columns {
		titles = append(titles, c.title)
	}
	_, _ = fmt.Fprintln(w, strings.Join(titles, "\t"))
	for _, row := range rows {
		cells := make([]string, 0, len(columns))
		for _, c := range columns {
			cells = append(cells, cell(c, row[c.field]))
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}

// cell formats one cell of a table; a missing or empty value becomes "-".
func cell(c column, value any) string {
	switch {
	case value == nil:
		return "-"
	case c.format != nil:
		return c.format(value)
	case value == "":
		return "-"
	default:
		return fmt.Sprint(value)
	}
}

// decode keeps numbers as json.Number, because a float64 cannot hold every revision.
func decode(answer []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(answer))
	decoder.UseNumber()
	if err := decoder.Decode(target); err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	return nil
}
