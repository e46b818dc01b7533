package reason_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/reason"
)

// declared returns the values of the constants of each const block in reason.go: waiting, refusals, stops.
func declared(t *testing.T) [][]string {
	file, err := parser.ParseFile(token.NewFileSet(), "reason.go", nil, 0)
	require.NoError(t, err)
	var blocks [][]string
	for _, d := range file.Decls {
		block, ok := d.(*ast.GenDecl)
		if !ok || block.Tok != token.CONST {
			continue
		}
		var words []string
		for _, spec := range block.Specs {
			word, err := strconv.Unquote(spec.(*ast.ValueSpec).Values[0].(*ast.BasicLit).Value)
			require.NoError(t, err)
			if word != "" {
				words = append(words, word)
			}
		}
		blocks = append(blocks, words)
	}
	return blocks
}

func words(reasons []reason.Reason) []string {
	var list []string
	for _, r := range reasons {
		list = append(list, r.String())
	}
	return list
}

// TestSetsAreComplete guards against a constant that is missing from the sets, which explanations, metrics and
// documentation are checked against.
func TestSetsAreComplete(t *testing.T) {
	blocks := declared(t)
	require.Len(t, blocks, 3)
	require.ElementsMatch(t, blocks[0], words(reason.Waiting()))
	require.ElementsMatch(t, blocks[1], words(reason.Refusals()))
	require.ElementsMatch(t, append(blocks[2], reason.WaitsForAll.String()), words(reason.Stops()))
}

// TestDocsListEveryReason guards against reasons that docs/reasons.md lacks, lists twice or under the wrong heading,
// and against others in it.
func TestDocsListEveryReason(t *testing.T) {
	data, err := os.ReadFile("../../docs/reasons.md")
	require.NoError(t, err)
	sections := regexp.MustCompile(`(?m)^## .*$`).Split(string(data), -1)
	require.Len(t, sections, 4)
	for i, want := range [][]reason.Reason{reason.Waiting(), reason.Refusals(), reason.Stops()} {
		var listed []string
		for _, row := range regexp.MustCompile(
			"(?m)^\\| `([a-z_]+)` \\| .+ \\| .+ \\|$").FindAllStringSubmatch(sections[i+1], -1) {
			listed = append(listed, row[1])
		}
		require.ElementsMatch(t, words(want), listed)
	}
}
