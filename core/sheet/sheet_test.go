package sheet

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"flamingodrift.example/core/wire"
)

// notations rewrite the sheet of a test case as spreadsheets or broken exports would write it. The line "notation:" of
// a case names those to apply.
var notations = map[string]func(string) string{
	"bom":       func(s string) string { return "\xef\xbb\xbf" + s },
	"crlf":      func(s string) string { return strings.ReplaceAll(s, "\n", "\r\n") },
	"latin1":    func(s string) string { return strings.ReplaceAll(s, "é", "\xe9") },
	"replaced":  func(s string) string { return strings.ReplaceAll(s, "é", "\ufffd") },
	"utf16":     func(s string) string { return "\xff\xfe" + strings.ReplaceAll(s, "", "\x00") },
	"nul":       func(s string) string { return strings.ReplaceAll(s, "~", "\x00") },
	"truncated": func(s string) string { return strings.TrimSuffix(s, "\n") },
	"too_large": func(s string) string { return s + strings.Repeat("\n", MaxBytes) },
	"too_many": func(s string) string {
		for i := range MaxRows {
			s += fmt.Sprintf("row-%d,t,batch,1,1,x\n", i)
		}
		return s
	},
}

// describe formats a valid sheet as the test cases expect it.
func describe(s *Sheet) string {
	text := fmt.Sprintf("sheet %d\n", s.Number())
	for _, j := range s.Jobs() {
		r := j.GetResources()
		text += fmt.Sprintf("%s run=%q team=%s %s tasks=%d cpu=%dm mem=%dMB acc=%d %s %s expected=%dms never=%t %q\n",
			j.GetKey(), j.GetRun(), j.GetTeam(), lowerName(j.GetKind()), j.GetTasks(), r.GetCpuMilli(), r.GetMemoryMb(),
			r.GetAccelerators(), lowerName(j.GetUrgency()), lowerName(j.GetSpread()), j.GetExpectedRunMs(), j.GetNeverRestart(),
			j.GetCommand())
	}
	return text
}

func lowerName(v fmt.Stringer) string { return strings.ToLower(v.String()) }

// TestCases guards against rejecting or misreading accepted formats, and against errors that are not reported or have a
// wrong line or column.
func TestCases(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) { runCase(t, file) })
	}
}

func runCase(t *testing.T, file string) {
	archive, err := txtar.ParseFile(file)
	require.NoError(t, err)
	parts := map[string]string{}
	for _, f := range archive.Files {
		parts[f.Name] = string(f.Data)
	}
	input := parts["sheet.csv"]
	for _, line := range strings.Split(string(archive.Comment), "\n") {
		if names, ok := strings.CutPrefix(line, "notation: "); ok {
			for _, name := range strings.Fields(names) {
				require.Contains(t, notations, name)
				input = notations[name](input)
			}
		}
	}
	got, err := Parse([]byte(input))
	if want, ok := parts["errors"]; ok {
		require.Error(t, err)
		require.Equal(t, want, err.Error()+"\n")
		return
	}
	require.NoError(t, err)
	require.Equal(t, parts["rows"], describe(got))
	if same, ok := parts["same_digest.csv"]; ok {
		other, err := Parse([]byte(same))
		require.NoError(t, err)
		require.Equal(t, got.Digest(), other.Digest(), "equal content in another notation must be the same sheet")
	}
	if different, ok := parts["other_digest.csv"]; ok {
		other, err := Parse([]byte(different))
		require.NoError(t, err)
		require.NotEqual(t, got.Digest(), other.Digest(), "other content must not count as the same sheet")
	}
}

// TestExamples guards against invalid example sheets.
func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/sheet.csv")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		s, err := Parse(data)
		require.NoError(t, err, file)
		require.NotEmpty(t, s.Jobs())
	}
}

// TestErrorsAreBounded guards against an answer of unlimited size when every row is wrong.
func TestErrorsAreBounded(t *testing.T) {
	text := "sheet,1\nkey,team,kind,processors,memory_mb,command\n"
	for range 2 * MaxErrors {
		text += ",,,,,\nk,t,nonsense,0,0,x\n"
	}
	_, err := Parse([]byte(text))
	problems := &Error{}
	require.ErrorAs(t, err, &problems)
	require.Len(t, problems.Problems, MaxErrors+1)
	require.Contains(t, problems.Problems[MaxErrors].Text, "further errors are not listed")
}

// FuzzParse guards against panics and against strings that protobuf cannot encode.
func FuzzParse(f *testing.F) {
	f.Add([]byte("sheet,1\nkey,team,kind,processors,memory_mb,command\na,t,batch,1,1,x\n"))
	f.Add([]byte("\xef\xbb\xbfsheet;1\r\nkey;team;kind;processors;memory_mb;command\r\n\"a;t;batch;1,5;1;x\r\n"))
	f.Add([]byte("sheet,1\nkey,key,,\"\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		_, err = proto.Marshal(&wire.ApplySheet{Number: s.Number(), Jobs: s.Jobs()})
		require.NoError(t, err)
	})
}

// TestDocs guards against differences between docs/sheet.md and the columns, in name, order or whether one is required.
func TestDocs(t *testing.T) {
	data, err := os.ReadFile("../../docs/sheet.md")
	require.NoError(t, err)
	var documented, want []string
	for _, row := range regexp.MustCompile(
		"(?m)^\\| `([a-z_]+)` \\| (yes|no) \\|").FindAllStringSubmatch(string(data), -1) {
		documented = append(documented, row[1]+" "+row[2])
	}
	for _, c := range columns {
		want = append(want, c.name+map[bool]string{true: " yes", false: " no"}[c.required])
	}
	require.Equal(t, want, documented)
}
