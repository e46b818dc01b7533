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

const valid = `{
	"name": "entry-1", "failure_domain": "khomas-a", "address": "10.0.0.1:7201", "http_address": "10.0.0.1:7202",
	"controls": ["10.0.0.1:7101"], "cell_token": "a-token-of-16-bytes-or-more"`

func parse(more string) (*Settings, error) {
	s := &Settings{}
	return s, loader.Parse("file", []byte(valid+more+"}"), s)
}

// TestDefaults guards the documented defaults.
func TestDefaults(t *testing.T) {
	s, err := parse("")
	require.NoError(t, err)
	require.Equal(t, "10.0.0.1:7201", s.AdvertiseAddress)
	for _, n := range s.numbers() {
		require.Equal(t, n.Default, *n.Value, n.Path)
		require.GreaterOrEqual(t, n.Default, n.Min, n.Path)
		require.LessOrEqual(t, n.Default, n.Max, n.Path)
	}
}

// TestEveryWrongValueIsListed guards that one run of --check shows all that is wrong, and no token.
func TestEveryWrongValueIsListed(t *testing.T) {
	s := &Settings{}
	token := strings.Repeat("t0ken", 40)
	err := loader.Parse("file", []byte(`{"beat_ms": 1, "currency_ms": 13001, "address": "0.0.0.0:7201", "http_address": "x",
		"cell_token": "t0ken-short", "operators": [{"name": "anna", "token": "t0ken-of-anna-and-ben"},
		{"name": "anna", "token": "t0ken-of-anna-and-ben"}, {"name": "", "token": "t0ken"}, {"tokn": "`+token+`"}]}`), s)
	require.Error(t, err)
	for _, want := range []string{
		`beat_ms: "1" is not allowed; allowed: 20 to 5000`,
		`currency_ms: "13001" is not allowed; allowed: 100 to 13000`,
		`name: "" is not allowed; allowed: 1 to 128 bytes`,
		`failure_domain: "" is not allowed`,
		`advertise_address: "0.0.0.0:7201" is not allowed; allowed: IP number and port that other hosts can reach`,
		`http_address: "x" is not allowed; allowed: IP number and port`,
		`controls: "" is not allowed; allowed: at least one address`,
		`cell_token: (not shown) is not allowed; allowed: 16 to 128 bytes`,
		`operators[1].name: "anna" is not allowed; allowed: a name that is used once`,
		`operators[1].token: (not shown) is not allowed; allowed: a token that is used once`,
		`operators[2].name: "" is not allowed; allowed: 1 to 128 bytes`,
		`operators[2].token: (not shown) is not allowed; allowed: 16 to 128 bytes`,
		`operators[3].tokn: this key is unknown; known: name, token`,
	} {
		require.Contains(t, err.Error(), want)
	}
	require.NotContains(t, err.Error(), "t0ken")
}

// TestBounds guards each bound on both sides.
func TestBounds(t *testing.T) {
	for _, n := range (&Settings{}).numbers() {
		for _, value := range []int{n.Min - 1, n.Max + 1} {
			if value == 0 {
				continue
			}
			_, err := parse(fmt.Sprintf(`, "%s": %d`, n.Path, value))
			require.ErrorContains(t, err, fmt.Sprintf(`%s: "%d" is not allowed`, n.Path, value))
		}
	}
}

// TestCurrencyAboveBeat guards against a process that is never current because it asks too seldom.
func TestCurrencyAboveBeat(t *testing.T) {
	_, err := parse(`, "beat_ms": 1000, "currency_ms": 1000`)
	require.ErrorContains(t, err, `currency_ms: "1000" is not allowed; allowed: above beat_ms`)
}

// TestDocs holds docs/settings.md to the settings: each key with its default and bounds, and no other.
func TestDocs(t *testing.T) {
	data, err := os.ReadFile("../../../docs/settings.md")
	require.NoError(t, err)
	_, section, _ := strings.Cut(string(data), "## entryd\n")
	section, _, _ = strings.Cut(section, "\n## ")
	require.Empty(t, loader.CompareDocs(section, &Settings{}))
	for _, n := range (&Settings{}).numbers() {
		row := regexp.MustCompile("(?m)^\\| `" + n.Path + "` .*$").FindString(section)
		require.Contains(t, row, fmt.Sprintf("| %d | %d to %d |", n.Default, n.Min, n.Max), n.Path)
	}
}

// TestExample guards the settings that newcomers start from.
func TestExample(t *testing.T) {
	require.NoError(t, loader.Load("../../../examples/local/entryd.json", &Settings{}))
}
