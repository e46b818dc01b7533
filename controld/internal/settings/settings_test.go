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
	"name": "control-1", "failure_domain": "khomas-a", "address": "10.0.0.1:7101", "health_address": "10.0.0.1:7102",
	"data_folder": "/var/lib/flamingodrift", "peers": ["10.0.0.1:7101"], "cell_token": "a-token-of-16-bytes-or-more"`

func parse(more string) (*Settings, error) {
	s := &Settings{}
	return s, loader.Parse("file", []byte(valid+more+"}"), s)
}

// TestDefaults checks that settings that are not given get their defaults, and that these are within their bounds.
func TestDefaults(t *testing.T) {
	s, err := parse("")
	require.NoError(t, err)
	require.Equal(t, "10.0.0.1:7101", s.AdvertiseAddress)
	for _, n := range s.numbers() {
		require.Equal(t, n.Default, *n.Value, n.Path)
		require.GreaterOrEqual(t, n.Default, n.Min, n.Path)
		require.LessOrEqual(t, n.Default, n.Max, n.Path)
	}
}

// TestEveryWrongValueIsListed checks that one run of --check reports every invalid value, and that it prints no token.
func TestEveryWrongValueIsListed(t *testing.T) {
	s := &Settings{}
	token := strings.Repeat("t0ken", 40)
	err := loader.Parse("file", []byte(`{"voters": 10, "heartbeat_ms": 1, "election_min_ms": 900, "election_max_ms": 800,
		"address": "0.0.0.0:7101", "health_address": "localhost:80", "peers": ["10.0.0.1:7101", "10.0.0.1:7101", "x"],
		"advertise": 1, "cell_token": "`+token+`"}`), s)
	require.Error(t, err)
	for _, want := range []string{
		`voters: "10" is not allowed; allowed: 1 to 9`,
		`heartbeat_ms: "1" is not allowed; allowed: 10 to 5000`,
		`election_min_ms: "900" is not allowed; allowed: at least 3 times heartbeat_ms and below election_max_ms`,
		`name: "" is not allowed; allowed: 1 to 128 bytes`,
		`failure_domain: "" is not allowed`,
		`data_folder: "" is not allowed`,
		`advertise_address: "0.0.0.0:7101" is not allowed; allowed: IP number and port that other hosts can reach`,
		`health_address: "localhost:80" is not allowed; allowed: IP number and port`,
		`peers[1]: "10.0.0.1:7101" is not allowed; allowed: an address that is listed once`,
		`peers[2]: "x" is not allowed`,
		`advertise: this key is unknown`,
		`cell_token: (not shown) is not allowed; allowed: 16 to 128 bytes`,
	} {
		require.Contains(t, err.Error(), want)
	}
	require.NotContains(t, err.Error(), "t0ken")
}

// TestBounds checks that values just outside the bounds are refused. Zero is left out, since it selects the default.
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

// TestDocs compares docs/settings.md with the settings: it must list each key with its default and bounds, and no other
// key.
func TestDocs(t *testing.T) {
	data, err := os.ReadFile("../../../docs/settings.md")
	require.NoError(t, err)
	_, section, _ := strings.Cut(string(data), "## controld\n")
	section, _, _ = strings.Cut(section, "\n## ")
	require.Empty(t, loader.CompareDocs(section, &Settings{}))
	for _, n := range (&Settings{}).numbers() {
		row := regexp.MustCompile("(?m)^\\| `" + n.Path + "` .*$").FindString(section)
		require.Contains(t, row, fmt.Sprintf("| %d | %d to %d |", n.Default, n.Min, n.Max), n.Path)
	}
}

// TestExample checks that the settings file of the local example is valid.
func TestExample(t *testing.T) {
	require.NoError(t, loader.Load("../../../examples/local/controld.json", &Settings{}))
}
