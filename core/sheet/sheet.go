// Package sheet reads the day's intended state that planners export as CSV.
package sheet

import (
	"bytes"
	"crypto/sha256"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"flamingodrift.example/core/wire"
)

// Bounds of one sheet.
const (
	MaxBytes  = 4 << 20
	MaxRows   = 10_000
	MaxErrors = 100
)

// Problem is one error in a sheet, at a line and column counted from 1.
type Problem struct {
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Text   string `json:"text"`
}

// Error lists the problems of a sheet. Nothing of such a sheet is applied.
type Error struct {
	Problems []Problem
}

// Error returns one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("line %d, column %d: %s", p.Line, p.Column, p.Text))
	}
	return strings.Join(lines, "\n")
}

// Sheet is a checked sheet.
type Sheet struct {
	number uint64
	digest []byte
	jobs   []*wire.JobSpec
}

// Number returns the sheet's number.
func (s *Sheet) Number() uint64 { return s.number }

// Digest returns the SHA-256 of the sheet's content, independent of its notation.
func (s *Sheet) Digest() []byte { return s.digest }

// Jobs returns the rows in the order of the sheet.
func (s *Sheet) Jobs() []*wire.JobSpec { return s.jobs }

// parser holds the state of one parse.
type parser struct {
	reader   *csv.Reader
	problems []Problem
	columns  []*column
	seen     map[string]int
}

// Parse reads and checks a sheet. A wrong sheet returns an *Error with every problem, up to MaxErrors.
func Parse(data []byte) (*Sheet, error) {
	if len(data) > MaxBytes {
		return nil, &Error{Problems: []Problem{{Line: 1, Column: 1, Text: fmt.Sprintf("sheet is larger than %d bytes", MaxBytes)}}}
	}
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	p := &parser{reader: csv.NewReader(bytes.NewReader(data)), seen: map[string]int{}}
	p.reader.FieldsPerRecord = -1
	p.reader.Comma = delimiter(data)
	s := &Sheet{}
	s.number = p.readNumber()
	if len(p.problems) == 0 {
		p.readColumns()
	}
	if len(p.problems) == 0 {
		s.jobs = p.readRows()
	}
	if len(p.problems) > 0 {
		return nil, &Error{Problems: p.problems}
	}
	s.digest = digest(s.jobs)
	return s, nil
}

// delimiter returns the separator of the first line: spreadsheets export semicolons in some locales.
func delimiter(data []byte) rune {
	line, _, _ := bytes.Cut(data, []byte("\n"))
	if bytes.Count(line, []byte(";")) > bytes.Count(line, []byte(",")) {
		return ';'
	}
	return ','
}

func (p *parser) fail(line, col int, format string, args ...any) {
	if len(p.problems) < MaxErrors {
		p.problems = append(p.problems, Problem{Line: line, Column: col, Text: fmt.Sprintf(format, args...)})
	}
}

// next returns the next record that is not blank; nil at the end or after a CSV error.
func (p *parser) next() []string {
	for {
		record, err := p.reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		var parseError *csv.ParseError
		if errors.As(err, &parseError) {
			p.fail(parseError.Line, parseError.Column, "%v", parseError.Err)
			return nil
		}
		if err != nil {
			p.fail(1, 1, "%v", err)
			return nil
		}
		if strings.TrimSpace(strings.Join(record, "")) != "" {
			return record
		}
	}
}

func (p *parser) readNumber() uint64 {
	record := p.next()
	if len(record) < 2 || strings.TrimSpace(record[0]) != "sheet" {
		p.fail(1, 1, "the first line must be: sheet,NUMBER")
		return 0
	}
	number, err := strconv.ParseUint(strings.TrimSpace(record[1]), 10, 63)
	if err != nil || number == 0 {
		line, col := p.reader.FieldPos(1)
		p.fail(line, col, "sheet number %q is not a whole number above 0", record[1])
	}
	return number
}

func (p *parser) readColumns() {
	record := p.next()
	if record == nil {
		p.fail(2, 1, "the second line must name the columns")
		return
	}
	present := map[string]bool{}
	for i, name := range record {
		name = strings.ToLower(strings.TrimSpace(name))
		line, col := p.reader.FieldPos(i)
		c := findColumn(name)
		switch {
		case name == "" && i == len(record)-1:
			// A separator at the end of each line exports as an empty last column.
			c = &column{}
		case c == nil:
			p.fail(line, col, "column %q is unknown; known: %s", name, columnNames())
		case present[name]:
			p.fail(line, col, "column %q appears twice", name)
		}
		present[name] = true
		p.columns = append(p.columns, c)
	}
	for _, c := range columns {
		if c.required && !present[c.name] {
			line, _ := p.reader.FieldPos(0)
			p.fail(line, 1, "column %q is missing", c.name)
		}
	}
}

func (p *parser) readRows() []*wire.JobSpec {
	var jobs []*wire.JobSpec
	for record := p.next(); record != nil; record = p.next() {
		line, _ := p.reader.FieldPos(0)
		if len(jobs) == MaxRows {
			p.fail(line, 1, "sheet has more than %d rows", MaxRows)
			return jobs
		}
		jobs = append(jobs, p.readRow(line, record))
	}
	return jobs
}

func (p *parser) readRow(line int, record []string) *wire.JobSpec {
	job := &wire.JobSpec{Resources: &wire.Resources{}}
	if len(record) > len(p.columns) {
		_, col := p.reader.FieldPos(len(p.columns))
		p.fail(line, col, "row has %d fields, but there are %d columns", len(record), len(p.columns))
	}
	positions := map[string]int{}
	given := map[string]bool{}
	for i, value := range record {
		if i >= len(p.columns) || p.columns[i].set == nil {
			continue
		}
		value = strings.TrimSpace(value)
		fieldLine, col := p.reader.FieldPos(i)
		positions[p.columns[i].name] = col
		if value == "" {
			continue
		}
		given[p.columns[i].name] = true
		if err := p.columns[i].set(job, value); err != nil {
			p.fail(fieldLine, col, "%s: %v", p.columns[i].name, err)
		}
	}
	for _, c := range columns {
		if c.required && !given[c.name] {
			p.fail(line, max(positions[c.name], 1), "%s must not be empty", c.name)
		}
	}
	p.checkRow(line, job, positions, given)
	return job
}

func (p *parser) checkRow(line int, job *wire.JobSpec, positions map[string]int, given map[string]bool) {
	if job.GetTasks() == 0 {
		job.Tasks = 1
	}
	if job.GetKind() != wire.JobKind_JOB_KIND_SERVICE && job.GetRun() == "" {
		job.Run = "1"
	}
	if job.GetKind() == wire.JobKind_JOB_KIND_SERVICE && given["run"] {
		p.fail(line, positions["run"], "run: a service has no run")
	}
	if job.GetKind() == wire.JobKind_JOB_KIND_SERVICE && job.GetNeverRestart() {
		p.fail(line, positions["restart"], "restart: a service is always restarted")
	}
	id := job.GetKey() + "@" + job.GetRun()
	if first, ok := p.seen[id]; ok && job.GetKey() != "" {
		p.fail(line, max(positions["key"], 1), "key %q with this run is already on line %d", job.GetKey(), first)
	}
	p.seen[id] = line
}

func digest(jobs []*wire.JobSpec) []byte {
	h := sha256.New()
	for _, job := range jobs {
		r := job.GetResources()
		// The text is unambiguous because quoted fields cannot contain an unescaped quote.
		fmt.Fprintf(h, "%q %q %d %d %d %d %d %d %d %d %q %q %t\n", job.GetKey(), job.GetTeam(), job.GetKind(), job.GetTasks(),
			r.GetCpuMilli(), r.GetMemoryMb(), r.GetAccelerators(), job.GetUrgency(), job.GetExpectedRunMs(), job.GetSpread(),
			job.GetRun(), job.GetCommand(), job.GetNeverRestart())
	}
	return h.Sum(nil)
}
