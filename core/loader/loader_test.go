package loader_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/loader"
)

const secret = "s3cret-value-of-a-token"

type part struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
}

type example struct {
	Name    string `json:"name"`
	Token   string `json:"token" secret:"true"`
	BeatMs  int    `json:"beat_ms"`
	Queue   uint32 `json:"queue"`
	On      bool   `json:"on"`
	Parts   []part `json:"parts"`
	Nested  part   `json:"nested"`
	checked bool
}

func (e *example) Check() []loader.Problem {
	e.checked = true
	if e.BeatMs < 20 {
		return []loader.Problem{{Path: "beat_ms", Value: "small", Allowed: "20 to 5000"}}
	}
	return nil
}

// TestCases guards against reporting only some of the wrong values, or any without its path, value and allowed values,
// and against messages that reveal a token.
func TestCases(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			require.NoError(t, err)
			text := strings.ReplaceAll(string(archive.Files[0].Data), "SECRET", secret)
			e := &example{}
			err = loader.Parse("file", []byte(text), e)
			if want := string(archive.Files[1].Data); want != "" {
				require.Error(t, err)
				require.Equal(t, want, err.Error()+"\n")
				require.NotContains(t, err.Error(), secret)
				require.NotContains(t, err.Error(), "s3cret")
				return
			}
			require.NoError(t, err)
			require.True(t, e.checked)
		})
	}
}

// TestFiles guards the errors for missing and oversized files.
func TestFiles(t *testing.T) {
	folder := t.TempDir()
	require.ErrorIs(t, loader.Load(filepath.Join(folder, "absent"), &example{}), os.ErrNotExist)
	large := filepath.Join(folder, "large")
	require.NoError(t, os.WriteFile(large, make([]byte, 2<<20), 0o600))
	require.ErrorContains(t, loader.Load(large, &example{}), "larger than 1048576 bytes")
}

// FuzzParse guards against panics and empty error messages.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"token": "` + secret + `", "beat_ms": 1}`))
	f.Add([]byte(`{"token": ` + secret + `}`))
	f.Add([]byte(`{"token": ["` + secret + `"], "parts": [{}, null], "nested": 1e9}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if err := loader.Parse("file", data, &example{}); err != nil {
			require.NotEmpty(t, err.Error())
		}
	})
}
