package sheet

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"

	"flamingodrift.example/core/wire"
)

const (
	maxNameBytes    = 128
	maxCommandBytes = 1024
	maxTasks        = 1_000
	maxCPUMilli     = 1_024_000
	maxMemoryMB     = 16 << 20
	maxAccelerators = 64
	maxRunSeconds   = 400 * 24 * 3600
)

// column describes one column of the sheet. set parses a non-empty value into the job.
type column struct {
	name     string
	required bool
	set      func(job *wire.JobSpec, value string) error
}

var columns = []*column{
	{name: "key", required: true, set: func(job *wire.JobSpec, v string) error {
		return setName(&job.Key, v)
	}},
	{name: "team", required: true, set: func(job *wire.JobSpec, v string) error {
		return setName(&job.Team, v)
	}},
	{name: "kind", required: true, set: func(job *wire.JobSpec, v string) error {
		return setChoice(&job.Kind, v, kinds)
	}},
	{name: "tasks", set: func(job *wire.JobSpec, v string) error {
		n, err := parseWholeNumber(v, 1, maxTasks)
		job.Tasks = uint32(n)
		return err
	}},
	{name: "processors", required: true, set: func(job *wire.JobSpec, v string) (err error) {
		job.Resources.CpuMilli, err = parseCPUMilli(v)
		return err
	}},
	{name: "memory_mb", required: true, set: func(job *wire.JobSpec, v string) (err error) {
		job.Resources.MemoryMb, err = parseWholeNumber(v, 1, maxMemoryMB)
		return err
	}},
	{name: "accelerators", set: func(job *wire.JobSpec, v string) (err error) {
		job.Resources.Accelerators, err = parseWholeNumber(v, 0, maxAccelerators)
		return err
	}},
	{name: "urgency", set: func(job *wire.JobSpec, v string) error {
		return setChoice(&job.Urgency, v, urgencies)
	}},
	{name: "expected_run_s", set: func(job *wire.JobSpec, v string) error {
		n, err := parseWholeNumber(v, 0, maxRunSeconds)
		job.ExpectedRunMs = uint64(n) * 1000
		return err
	}},
	{name: "spread", set: func(job *wire.JobSpec, v string) error {
		return setChoice(&job.Spread, v, spreads)
	}},
	{name: "run", set: func(job *wire.JobSpec, v string) error {
		return setName(&job.Run, v)
	}},
	{name: "restart", set: func(job *wire.JobSpec, v string) error {
		return setChoice(&job.NeverRestart, v, restarts)
	}},
	{name: "command", required: true, set: func(job *wire.JobSpec, v string) error {
		if len(v) > maxCommandBytes {
			return fmt.Errorf("longer than %d bytes", maxCommandBytes)
		}
		for _, r := range v {
			if unicode.IsControl(r) && r != '\t' && r != '\n' {
				return fmt.Errorf("holds the control character %U; allowed: tabs and line ends", r)
			}
		}
		job.Command = v
		return nil
	}},
}

// choice is one allowed value of a column.
type choice[T any] struct {
	text  string
	value T
}

var kinds = []choice[wire.JobKind]{
	{"service", wire.JobKind_JOB_KIND_SERVICE},
	{"batch", wire.JobKind_JOB_KIND_BATCH},
	{"all_at_once", wire.JobKind_JOB_KIND_ALL_AT_ONCE},
}

var urgencies = []choice[wire.Urgency]{
	{"low", wire.Urgency_URGENCY_LOW},
	{"normal", wire.Urgency_URGENCY_NORMAL},
	{"urgent", wire.Urgency_URGENCY_URGENT},
}

var spreads = []choice[wire.Spread]{
	{"none", wire.Spread_SPREAD_NONE},
	{"rack", wire.Spread_SPREAD_RACK},
	{"failure_domain", wire.Spread_SPREAD_FAILURE_DOMAIN},
}

var restarts = []choice[bool]{
	{"always", false},
	{"never", true},
}

func findColumn(name string) *column {
	for _, c := range columns {
		if c.name == name {
			return c
		}
	}
	return nil
}

func columnNames() string {
	names := make([]string, 0, len(columns))
	for _, c := range columns {
		names = append(names, c.name)
	}
	return strings.Join(names, ", ")
}

// setChoice stores the choice whose text equals value, ignoring case.
func setChoice[T any](target *T, value string, choices []choice[T]) error {
	var allowed []string
	for _, c := range choices {
		if strings.EqualFold(c.text, value) {
			*target = c.value
			return nil
		}
		allowed = append(allowed, c.text)
	}
	return fmt.Errorf("%q is not allowed; allowed: %s", value, strings.Join(allowed, ", "))
}

// setName stores a name. Only letters, digits, dots, underscores and hyphens are allowed, so that a name is safe in
// paths and identifiers.
func setName(target *string, value string) error {
	if len(value) > maxNameBytes {
		return fmt.Errorf("longer than %d bytes", maxNameBytes)
	}
	for _, r := range value {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !letter && (r < '0' || r > '9') && !strings.ContainsRune("._-", r) {
			return fmt.Errorf("%q holds %q; allowed: letters, digits, '.', '_' and '-'", value, r)
		}
	}
	*target = value
	return nil
}

func parseWholeNumber(value string, low, high int64) (int64, error) {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < low || n > high {
		return 0, fmt.Errorf("%q is not a whole number from %d to %d", value, low, high)
	}
	return n, nil
}

// parseCPUMilli parses a number of processors, with a decimal point or comma, and returns it in thousandths. Notations
// that spreadsheets do not export, such as 1e3 or 0x10, and more than three decimals are rejected rather than guessed.
func parseCPUMilli(value string) (int64, error) {
	whole, decimals, _ := strings.Cut(strings.Replace(value, ",", ".", 1), ".")
	decimals = strings.TrimRight(decimals, "0")
	n, err := strconv.ParseUint(whole+(decimals + "000")[:max(3, len(decimals))], 10, 32)
	if err != nil || whole == "" || len(decimals) > 3 || n < 1 || n > maxCPUMilli {
		return 0, fmt.Errorf("%q is not a number of processors from 0.001 to %d", value, maxCPUMilli/1000)
	}
	return int64(n), nil
}
