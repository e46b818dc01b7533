package server

import (
	"context"
	"maps"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/wire"
)

func digestOf(t *testing.T, action string, revision uint64, body string) []byte {
	parsed, errorReply := decodeBody([]byte(body))
	require.Nil(t, errorReply)
	command, errorReply := buildCommand(action, &wire.Change{Id: "x", ExpectedRevision: revision}, parsed)
	require.Nil(t, errorReply)
	return contentDigest(command)
}

// TestContentDigest checks that a resent change has the same digest in another notation or with a newer expected
// revision, and that different changes have different digests.
func TestContentDigest(t *testing.T) {
	first := digestOf(t, "drain", 1, `{"worker":"w"}`)
	require.Equal(t, first, digestOf(t, "drain", 2, `{ "change_id": "x", "worker": "w" }`))
	require.NotEqual(t, first, digestOf(t, "undrain", 1, `{"worker":"w"}`))
	require.NotEqual(t, first, digestOf(t, "drain", 1, `{"worker":"v"}`))
	sheet := `sheet,1\nkey,team,kind,processors,memory_mb,command\na,t,batch,1,1,x\n`
	applied := digestOf(t, "apply", 1, `{"sheet":"`+sheet+`"}`)
	require.Equal(t, applied, digestOf(t, "apply", 1, `{"sheet":"`+sheet+`\n"}`))
	require.NotEqual(t, applied, digestOf(t, "apply", 1, `{"sheet":"`+sheet+`","confirm_stops":3}`))
}

// TestDecodeBody checks that malformed bodies and bodies with unknown fields are refused: a misspelt field would
// otherwise count as absent.
func TestDecodeBody(t *testing.T) {
	for _, body := range []string{`{"confirmstops":1}`, `{} {}`, `[]`, `{"expected_revision":-1}`, `{`} {
		_, errorReply := decodeBody([]byte(body))
		require.NotNil(t, errorReply, body)
		require.EqualValues(t, 400, errorReply.GetOperate().GetStatus(), body)
	}
	body, errorReply := decodeBody(nil)
	require.Nil(t, errorReply)
	require.Nil(t, body.ExpectedRevision)
}

// TestSheetProblemsReachTheOperator checks that the answer to a faulty sheet has the line and column of each problem.
func TestSheetProblemsReachTheOperator(t *testing.T) {
	_, errorReply := parseSheet("sheet,x\n")
	require.JSONEq(t, `{"reason":"request_invalid","detail":"the sheet has errors; nothing was applied",
		"sheet_problems":[{"line":1,"column":7,"text":"sheet number \"x\" is not a whole number above 0"}]}`,
		string(errorReply.GetOperate().GetBody()))
}

// TestDocs compares the actions in docs/api.md with those of the server.
func TestDocs(t *testing.T) {
	data, err := os.ReadFile("../../../docs/api.md")
	require.NoError(t, err)
	_, section, _ := strings.Cut(string(data), "## Operators\n")
	section, _, _ = strings.Cut(section, "| status | reasons |")
	var documented []string
	for _, row := range regexp.MustCompile("(?m)^\\| (`[a-z]+`(?:, `[a-z]+`)*) \\|").FindAllStringSubmatch(section, -1) {
		documented = append(documented, strings.Split(strings.ReplaceAll(row[1], "`", ""), ", ")...)
	}
	require.ElementsMatch(t, append(slices.Collect(maps.Keys(queries)), changeActions...), documented)
}

// TestUnknownAction checks that the answer to a misspelt action names the action, rather than asking for a change id.
func TestUnknownAction(t *testing.T) {
	reply := New(nil, nil).operate(context.Background(), &wire.OperateRequest{Action: "statsu"})
	require.EqualValues(t, http.StatusNotFound, reply.GetOperate().GetStatus())
	require.JSONEq(t, `{"reason":"not_found","detail":"no action \"statsu\""}`, string(reply.GetOperate().GetBody()))
}
