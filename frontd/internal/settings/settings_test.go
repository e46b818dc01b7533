package settings

import (
	"os"
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
}
