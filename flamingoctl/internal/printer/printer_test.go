package printer_test

import (
	"bytes"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"

	"flamingodrift.example/flamingoctl/internal/printer"
)

// TestCases checks the text and JSON output for each action, which operators read and copy from. The files in testdata
// hold pairs of a response and its expected text.
func TestCases(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		action := strings.TrimSuffix(filepath.Base(file), ".txtar")
		t.Run(action, func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			require.NoError(t, err)
			for i := 0; i < len(archive.Files); i += 2 {
				answer, want := archive.Files[i].Data, archive.Files[i+1].Data
				var out bytes.Buffer
				require.NoError(t, printer.New(&out, false).Print(action, answer))
				require.Equal(t, string(want), out.String())
				out.Reset()
				require.NoError(t, printer.New(&out, true).Print(action, answer))
				require.JSONEq(t, string(answer), out.String())
			}
		})
	}
}
