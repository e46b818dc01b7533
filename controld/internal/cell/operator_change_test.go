package cell_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// configure returns a command that puts a configuration with one team, named by content, in force.
func configure(id string, revision uint64, content string) *wire.Command {
	return &wire.Command{NowUnixMs: 1, Body: &wire.Command_Configure{Configure: &wire.Configure{
		Change: &wire.Change{Id: id, Operator: "anna", ExpectedRevision: revision, Digest: []byte(content)},
		Config: &wire.Config{Profile: "waiting", Teams: []*wire.Team{{Name: content}}},
	}}}
}

// TestConcurrentChangesConflict guards against an operator's change overwriting one that the operator has not seen.
func TestConcurrentChangesConflict(t *testing.T) {
	c := cell.New()
	require.Empty(t, c.Apply(configure("first", 0, "a")).GetReason())
	conflict := c.Apply(configure("second", 0, "b"))
	require.Equal(t, reason.Conflict.String(), conflict.GetReason())
	require.EqualValues(t, 1, conflict.GetRevision())
	require.Contains(t, conflict.GetDetail(),
		"the revision is 1, not 0; since then: revision 1 by anna: configuration with 1 teams")
	require.Equal(t, "a", c.Config().GetTeams()[0].GetName())

	require.Empty(t, c.Apply(configure("third", 1, "c")).GetReason())
	require.True(t, proto.Equal(conflict, c.Apply(configure("second", 0, "b"))),
		"a retried change gets the result of its first attempt")
	require.Equal(t, reason.ChangeIDReused.String(), c.Apply(configure("first", 2, "other")).GetReason())
	require.Contains(t, c.Apply(configure("fourth", 9, "d")).GetDetail(), "that revision does not exist")
}

// TestChangeWithoutEffectKeepsRevision guards against a change without effect that raises the revision and so causes
// conflicts for other operators.
func TestChangeWithoutEffectKeepsRevision(t *testing.T) {
	c := cell.New()
	c.Apply(configure("first", 0, "a"))
	again := c.Apply(configure("second", 1, "a"))
	require.Empty(t, again.GetReason())
	require.EqualValues(t, 1, again.GetRevision())
	require.Contains(t, again.GetDetail(), "already")
	require.Len(t, c.History(), 1)
}

// TestChangesMatchModel compares optimistic concurrency and idempotency with a model, over random sequences of changes,
// retries and restarts from snapshots.
func TestChangesMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := cell.New()
		type answer struct {
			content string
			result  *wire.Result
		}
		answers := map[string]answer{}
		revision, inForce := uint64(0), ""
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				id := fmt.Sprint("id-", rapid.IntRange(0, 30).Draw(t, "id"))
				content := fmt.Sprint("content-", rapid.IntRange(0, 3).Draw(t, "content"))
				from := uint64(max(0, int(revision)-rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "behind")))
				got := c.Apply(configure(id, from, content))
				known, retried := answers[id]
				switch {
				case retried && known.content != content:
					require.Equal(t, reason.ChangeIDReused.String(), got.GetReason())
				case retried:
					require.True(t, proto.Equal(known.result, got))
				case from != revision:
					require.Equal(t, reason.Conflict.String(), got.GetReason())
					require.Equal(t, revision, got.GetRevision())
					answers[id] = answer{content, got}
				default:
					require.Empty(t, got.GetReason())
					if content != inForce {
						revision, inForce = revision+1, content
					}
					require.Equal(t, revision, got.GetRevision())
					answers[id] = answer{content, got}
				}
			},
			"restart": func(t *rapid.T) {
				data, err := c.Snapshot()
				require.NoError(t, err)
				c, err = cell.Restore(data)
				require.NoError(t, err)
			},
			"": func(t *rapid.T) {
				require.Equal(t, revision, c.Revision())
				require.Len(t, c.History(), int(revision))
				if inForce != "" {
					require.Equal(t, inForce, c.Config().GetTeams()[0].GetName())
				}
			},
		})
	})
}
