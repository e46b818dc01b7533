package settings

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/loader"
)

const good = `{"name": "f", "address": "127.0.0.1:1", "caller_address": "127.0.0.1:2", "ready_address": "127.0.0.1:3",
	"metrics_address": "127.0.0.1:4", "seeds": ["127.0.0.2:9"], "cell_token": "0123456789abcdef"}`

// TestCheck checks that the error names the invalid setting and that valid settings give no error.
func TestCheck(t *testing.T) {
	tests := []struct{ name, from, to, problem string }{
		{"good", "", "", ""},
		{"no seeds", `["127.0.0.2:9"]`, `[]`, "seeds"},
		{"seed without a port", `127.0.0.2:9`, `127.0.0.2`, "seeds[0]"},
		{"address of any host", `127.0.0.1:1`, `0.0.0.0:1`, "address"},
		{"short token", `0123456789abcdef`, `short`, "cell_token"},
		{"unknown key", `"name"`, `"nam"`, "nam"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			err := loader.Parse("f.json", []byte(strings.Replace(good, test.from, test.to, 1)), &Settings{})
			if test.problem == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, test.problem)
		})
	}
}

// TestDocs checks that docs/settings.md lists exactly the keys of the settings.
func TestDocs(t *testing.T) {
	data, err := os.ReadFile("../../../docs/settings.md")
	require.NoError(t, err)
	_, section, _ := strings.Cut(string(data), "## frontd\n")
	section, _, _ = strings.Cut(section, "\n## ")
	require.Empty(t, loader.CompareDocs(section, &Settings{}))
	for _, n := range (&Settings{}).numbers() {
		row := regexp.MustCompile("(?m)^\\| `" + n.Path + "` .*$").FindString(section)
		require.Contains(t, row, fmt.Sprintf("| %d | %d to %d |", n.Default, n.Min, n.Max), n.Path)
	}
}

// TestBounds guards against values just outside the bounds that are accepted, and against budgets that are not derived from
// the memory limit. Zero selects the default.
func TestBounds(t *testing.T) {
	for _, n := range append((&Settings{}).numbers(), (&Settings{}).budgets()...) {
		for _, value := range []int{n.Min - 1, n.Max + 1} {
			if value == 0 {
				continue
			}
			text := strings.Replace(good, "{", fmt.Sprintf(`{"%s": %d, `, n.Path, value), 1)
			err := loader.Parse("f.json", []byte(text), &Settings{})
			require.ErrorContains(t, err, fmt.Sprintf(`%s: "%d" is not allowed`, n.Path, value))
		}
	}
	s := &Settings{}
	require.NoError(t, loader.Parse("f.json", []byte(strings.Replace(good, "{", `{"memory_limit_mb": 128, `, 1)), s))
	require.Equal(t, 48, s.BodyBudgetMB)
	require.Equal(t, 16, s.FrameBudgetMB)
}
