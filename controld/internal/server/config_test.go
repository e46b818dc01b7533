package server

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/loader"
)

// TestConfigErrors checks that one reply lists every error in a configuration. Some of them would otherwise be accepted
// and match nothing, such as a team name that no sheet can contain or a method in lower case.
func TestConfigErrors(t *testing.T) {
	_, errorReply := parseConfig(`{"profile": "fast", "teams": [{"name": "a b", "weight": 1001, "quota": {"processors": -1}}, {"name": "x"}, {"name": "x"}],
		"services": [{"name": "", "idempotent_methods": ["put"], "deadline_ms": 600001, "queue": 4097}], "team": []}`)
	require.NotNil(t, errorReply)
	text := string(errorReply.GetOperate().GetBody())
	for _, want := range []string{
		`profile: \"fast\" is not allowed; allowed: waiting, packing`,
		`teams[0].name: \"a b\" is not allowed; allowed: 1 to 128 letters, digits, '.', '_' and '-'`,
		`teams[0].weight: \"1001\" is not allowed; allowed: 1 to 1000`,
		`teams[0].quota.processors: \"-1\" is not allowed; allowed: 0 to 1000000`,
		`teams[2].name: \"x\" is not allowed; allowed: a name that is used once`,
		`services[0].name: \"\" is not allowed`,
		`services[0].idempotent_methods[0]: \"put\" is not allowed; allowed: PUT, POST, PATCH, DELETE`,
		`services[0].deadline_ms: \"600001\" is not allowed; allowed: 1 to 600000`,
		`services[0].queue: \"4097\" is not allowed; allowed: 1 to 4096`,
		`team: this key is unknown`,
	} {
		require.Contains(t, strings.ReplaceAll(text, `\u0027`, "'"), want)
	}
}

// TestExampleConfigs checks that the example configurations are valid, and that a quota is exact to a thousandth of a
// processor.
func TestExampleConfigs(t *testing.T) {
	files, err := filepath.Glob("../../../examples/*/config.json")
	require.NoError(t, err)
	require.Len(t, files, 2)
	for _, file := range files {
		data, err := os.ReadFile(file)
		require.NoError(t, err)
		_, errorReply := parseConfig(string(data))
		require.Nil(t, errorReply, file)
	}
	config, errorReply := parseConfig(`{"teams": [{"name": "t", "quota": {"processors": 1.001}}]}`)
	require.Nil(t, errorReply)
	require.EqualValues(t, 1001, config.GetTeams()[0].GetQuota().GetCpuMilli())
}

// TestConfigDocs compares the keys in docs/settings.md with those of the configuration.
func TestConfigDocs(t *testing.T) {
	data, err := os.ReadFile("../../../docs/settings.md")
	require.NoError(t, err)
	_, section, _ := strings.Cut(string(data), "## The configuration\n")
	require.Empty(t, loader.CompareDocs(section, &configFile{}))
}
