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

func parse(extra string) (*Settings, error) {
	s := &Settings{}
	return s, loader.Parse("file", []byte(valid+extra+"}"), s)
}

// TestDefaults guards against settings that are not filled in, and against defaults outside of their bounds.
func TestDefaults(t *testing.T) {
	s, err := parse("")
	require.NoError(t, err)
	require.Equal(t, "10.0.0.1:7201", s.AdvertiseAddress)
	for _, number := range s.numbers() {
		require.Equal(t, number.Default, *number.Value, number.Path)
		require.GreaterOrEqual(t, number.Default, number.Min, number.Path)
		require.LessOrEqual(t, number.Default, number.Max, number.Path)
	}
}

// TestEveryWrongValueIsListed guards against a --check that reports only some of the problems, or that prints a token.
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

// TestBounds guards against values just outside of the bounds being accepted.
func TestBounds(t *testing.T) {
	for _, number := range (&Settings{}).numbers() {
		for _, value := range []int{number.Min - 1, number.Max + 1} {
			if value == 0 {
				continue
			}
			_, err := parse(fmt.Sprintf(`, "%s": %d`, number.Path, value))
			require.ErrorContains(t, err, fmt.Sprintf(`%s: "%d" is not allowed`, number.Path, value))
		}
	}
}

// TestConfigValidityAboveBeatInterval guards against an entry process whose configuration expires before the next
// heartbeat can confirm it.
func TestConfigValidityAboveBeatInterval(t *testing.T) {
	_, err := parse(`, "beat_ms": 1000, "currency_ms": 1000`)
	require.ErrorContains(t, err, `currency_ms: "1000" is not allowed; allowed: above beat_ms`)
}

// TestDocs checks that docs/settings.md lists each key with its default and bounds, and no other key.
func TestDocs(t *testing.T) {
	data, err := os.ReadFile("../../../docs/settings.md")
	require.NoError(t, err)
	_, section, _ := strings.Cut(string(data), "## entryd\n")
	section, _, _ = strings.Cut(section, "\n## ")
	require.Empty(t, loader.CompareDocs(section, &Settings{}))
	for _, number := range (&Settings{}).numbers() {
		row := regexp.MustCompile("(?m)^\\| `" + number.Path + "` .*$").FindString(section)
		require.Contains(t, row, fmt.Sprintf("| %d | %d to %d |", number.Default, number.Min, number.Max), number.Path)
	}
}

// TestExample guards against an example settings file that does not load.
func TestExample(t *testing.T) {
	require.NoError(t, loader.Load("../../../examples/local/entryd.json", &Settings{}))
}
