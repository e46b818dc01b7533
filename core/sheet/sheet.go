// Package sheet parses the sheet: the intended state of the cell for a day, which planners export as CSV.
package sheet

import (
	"bytes"
	"crypto/sha256"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"flamingodrift.example/core/wire"
)

// Limits of one sheet.
const (
	MaxBytes = 4 << 20
	// maxColumns is the number of columns that spreadsheets have.
	maxColumns = 16_384
	MaxRows    = 10_000
	// MaxErrors limits the problems that are listed; further ones are only counted.
	MaxErrors = 100
)

// Problem is one error in a sheet, with its line and column, both counted from 1.
type Problem struct {
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Text   string `json:"text"`
}

// Error lists the problems of an invalid sheet. No part of such a sheet is applied.
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

// Sheet is a valid sheet.
type Sheet struct {
	number uint64
	digest []byte
	jobs   []*wire.JobSpec
}

// Number returns the sheet's number.
func (s *Sheet) Number() uint64 { return s.number }

// Digest returns the SHA-256 of the sheet's content, which does not depend on the CSV formatting.
func (s *Sheet) Digest() []byte { return s.digest }

// Jobs returns the rows in sheet order.
func (s *Sheet) Jobs() []*wire.JobSpec { return s.jobs }

// parser holds the state of one parse.
type parser struct {
	reader   *csv.Reader
	problems []Problem
	columns  []*column
	// lineByID maps the key and run of each row to its line.
	lineByID map[string]int
	data     []byte
	// unlisted is the number of problems beyond MaxErrors.
	unlisted int
}

// Parse parses and validates a sheet: CSV in UTF-8, up to MaxBytes and MaxRows. For an invalid sheet it returns an
// *Error that lists up to MaxErrors problems by line and column and counts the others.
func Parse(data []byte) (*Sheet, error) {
	if len(data) > MaxBytes {
		return nil, &Error{Problems: []Problem{{
			Line: 1, Column: 1, Text: fmt.Sprintf("sheet is larger than %d bytes", MaxBytes),
		}}}
	}
	data = bytes.TrimPrefix(data, byteOrderMark)
	if line, col, found := findInvalidText(data); found {
		return nil, &Error{Problems: []Problem{{
			Line: line, Column: col, Text: "the sheet is not UTF-8 text; export it as CSV UTF-8",
		}}}
	}
	comma := delimiter(data)
	if line, found := findWideLine(data, byte(comma)); found {
		return nil, &Error{Problems: []Problem{{
			Line: line, Column: 1, Text: fmt.Sprintf("the row has more than %d columns", maxColumns),
		}}}
	}
	p := &parser{reader: csv.NewReader(bytes.NewReader(data)), lineByID: map[string]int{}, data: data}
	p.reader.FieldsPerRecord = -1
	p.reader.Comma = comma
	s := &Sheet{}
	s.number = p.readNumber()
	if len(p.problems) == 0 {
		p.readColumns()
	}
	if len(p.problems) == 0 {
		s.jobs = p.readRows()
	}
	if len(p.problems) > 0 {
		return nil, &Error{Problems: p.sortedProblems()}
	}
	s.digest = digest(s.jobs)
	return s, nil
}

// findWideLine returns the line on which a row exceeds maxColumns. The reader would hold about 100 bytes for each column.
func findWideLine(data []byte, comma byte) (line int, found bool) {
	line = 1
	columns, quoted := 1, false
	for _, c := range data {
		switch {
		case c == '"':
			quoted = !quoted
		case c == '\n':
			line++
			if !quoted {
				columns = 1
			}
		case c == comma && !quoted:
			columns++
			if columns > maxColumns {
				return line, true
			}
		}
	}
	return 0, false
}

// addProblem records a problem, or counts it if MaxErrors are listed already.
func (p *parser) addProblem(line, col int, format string, args ...any) {
	if len(p.problems) < MaxErrors {
		p.problems = append(p.problems, Problem{Line: line, Column: col, Text: fmt.Sprintf(format, args...)})
	} else {
		p.unlisted++
	}
}

// sortedProblems returns the problems ordered by line and column, followed by the number of unlisted ones.
func (p *parser) sortedProblems() []Problem {
	sort.SliceStable(p.problems, func(a, b int) bool {
		x, y := p.problems[a], p.problems[b]
		return x.Line < y.Line || x.Line == y.Line && x.Column < y.Column
	})
	if p.unlisted > 0 {
		last := p.problems[len(p.problems)-1]
		p.problems = append(p.problems, Problem{
			Line: last.Line, Column: last.Column, Text: fmt.Sprintf("%d further errors are not listed", p.unlisted),
		})
	}
	return p.problems
}

// nextRecord returns the next record that is not blank, or nil at the end. Records with wrong quotes are reported
// and skipped, so that later errors are found too.
func (p *parser) nextRecord() []string {
	for {
		record, err := p.reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			p.addCSVProblem(err)
			continue
		}
		if strings.TrimSpace(strings.Join(record, "")) != "" {
			return record
		}
	}
}

// addCSVProblem adds the problem that the CSV reader found.
func (p *parser) addCSVProblem(err error) {
	var parseErr *csv.ParseError
	switch {
	case len(p.problems) >= MaxErrors:
		// Errors that are only counted need no position, which takes time to find.
		p.unlisted++
	case !errors.As(err, &parseErr):
		p.addProblem(1, 1, "%v", err)
	case errors.Is(parseErr.Err, csv.ErrBareQuote):
		p.addProblem(parseErr.Line, parseErr.Column,
			"a quote stands inside an unquoted field; quote the field and double the quote")
	case byteAt(p.data, parseErr.Line, parseErr.Column) == '"':
		p.addProblem(parseErr.Line, parseErr.Column, "text follows a closing quote; double a quote inside a field")
	default:
		// The reader has read to the end of the file, so parseErr.Line does not show where the field is.
		p.addProblem(parseErr.StartLine, 1, "a quoted field of this row does not end")
	}
}

func (p *parser) readNumber() uint64 {
	record := p.nextRecord()
	if len(record) < 2 || !strings.EqualFold(strings.TrimSpace(record[0]), "sheet") {
		p.addProblem(1, 1, "the first line must be: sheet,NUMBER")
		return 0
	}
	for i, value := range record[2:] {
		if strings.TrimSpace(value) != "" {
			line, col := p.reader.FieldPos(2 + i)
			p.addProblem(line, col, "the first line must be: sheet,NUMBER, but also holds %q", value)
		}
	}
	number, err := strconv.ParseUint(strings.TrimSpace(record[1]), 10, 63)
	if err != nil || number == 0 {
		line, col := p.reader.FieldPos(1)
		p.addProblem(line, col, "sheet number %q is not a whole number above 0", record[1])
	}
	return number
}

func (p *parser) readColumns() {
	record := p.nextRecord()
	if record == nil {
		p.addProblem(2, 1, "the second line must name the columns")
		return
	}
	present := map[string]bool{}
	for i, name := range record {
		name = strings.ToLower(strings.TrimSpace(name))
		line, col := p.reader.FieldPos(i)
		c := findColumn(name)
		switch {
		case name == "" && strings.TrimSpace(strings.Join(record[i:], "")) == "":
			// Spreadsheets export formerly used columns as empty columns at the end.
			c = &column{}
		case name == "":
			p.addProblem(line, col, "a column before the last one has no name")
		case c == nil:
			p.addProblem(line, col, "column %q is unknown; known: %s", name, columnNames())
		case present[name]:
			p.addProblem(line, col, "column %q appears twice", name)
		}
		present[name] = true
		if c == nil {
			c = &column{}
		}
		p.columns = append(p.columns, c)
	}
	for _, c := range columns {
		if c.required && !present[c.name] {
			line, _ := p.reader.FieldPos(0)
			p.addProblem(line, 1, "column %q is missing", c.name)
		}
	}
}

func (p *parser) readRows() []*wire.JobSpec {
	var jobs []*wire.JobSpec
	for record := p.nextRecord(); record != nil; record = p.nextRecord() {
		line, _ := p.reader.FieldPos(0)
		if len(jobs) == MaxRows {
			p.addProblem(line, 1, "sheet has more than %d rows", MaxRows)
			return jobs
		}
		jobs = append(jobs, p.readRow(line, record))
	}
	return jobs
}

func (p *parser) readRow(line int, record []string) *wire.JobSpec {
	job := &wire.JobSpec{Resources: &wire.Resources{}}
	positions := map[string]int{}
	given := map[string]bool{}
	for i, value := range record {
		value = strings.TrimSpace(value)
		fieldLine, col := p.reader.FieldPos(i)
		if i >= len(p.columns) || p.columns[i].set == nil {
			if value != "" {
				p.addProblem(fieldLine, col, "%q stands in a column without a name", value)
			}
			continue
		}
		positions[p.columns[i].name] = col
		if value == "" {
			continue
		}
		given[p.columns[i].name] = true
		if err := p.columns[i].set(job, value); err != nil {
			p.addProblem(fieldLine, col, "%s: %v", p.columns[i].name, err)
		}
	}
	for _, c := range columns {
		if c.required && !given[c.name] {
			p.addProblem(line, max(positions[c.name], 1), "%s must not be empty", c.name)
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
		p.addProblem(line, positions["run"], "run: a service has no run")
	}
	if job.GetKind() == wire.JobKind_JOB_KIND_SERVICE && job.GetNeverRestart() {
		p.addProblem(line, positions["restart"], "restart: a service is always restarted")
	}
	id := job.GetKey() + "@" + job.GetRun()
	if first, ok := p.lineByID[id]; ok && job.GetKey() != "" {
		p.addProblem(line, max(positions["key"], 1), "key %q with this run is already on line %d", job.GetKey(), first)
	}
	p.lineByID[id] = line
}

func digest(jobs []*wire.JobSpec) []byte {
	h := sha256.New()
	for _, job := range jobs {
		r := job.GetResources()
		// The text is unambiguous because quoted fields cannot contain an unescaped quote. The order of rows is part of
		// the content: new rows of a sheet are scheduled in sheet order.
		fmt.Fprintf(h, "%q %q %d %d %d %d %d %d %d %d %q %q %t\n", job.GetKey(), job.GetTeam(), job.GetKind(), job.GetTasks(),
			r.GetCpuMilli(), r.GetMemoryMb(), r.GetAccelerators(), job.GetUrgency(), job.GetExpectedRunMs(), job.GetSpread(),
			job.GetRun(), job.GetCommand(), job.GetNeverRestart())
	}
	return h.Sum(nil)
}
