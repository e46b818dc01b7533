package server

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/cell"
	"flamingodrift.example/controld/internal/explainer"
	"flamingodrift.example/controld/internal/planner"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/sheet"
	"flamingodrift.example/core/wire"
)

// undecidedPlanner is a planner that has not considered any job.
type undecidedPlanner struct{}

func (undecidedPlanner) WaitStatus(string) (planner.WaitStatus, bool) {
	return planner.WaitStatus{}, false
}

// fullCell returns an Explainer of a cell with the maximum number of jobs and tasks.
func fullCell(tb testing.TB) *explainer.Explainer {
	c := cell.New()
	text := "sheet,1\nkey,team,kind,tasks,processors,memory_mb,run,command\n"
	for i := range cell.MaxJobs {
		text += fmt.Sprintf("settlement-of-shop-%05d,settlements,batch,2,1,64,2026-12-04,settle\n", i)
	}
	parsed, err := sheet.Parse([]byte(text))
	require.NoError(tb, err)
	result := c.Apply(&wire.Command{NowUnixMs: 1_800_000_000_000, Body: &wire.Command_ApplySheet{ApplySheet: &wire.ApplySheet{
		Change: &wire.Change{Id: "x"}, Number: 1, Digest: parsed.Digest(), Jobs: parsed.Jobs(),
	}}})
	require.Empty(tb, result.GetReason())
	return &explainer.Explainer{Cell: c, Planner: undecidedPlanner{}}
}

// TestFullCellFitsAnAnswer checks that the lists of a full cell are within maxAnswerBytes. Otherwise an operator on
// call would get no list.
func TestFullCellFitsAnAnswer(t *testing.T) {
	e := fullCell(t)
	list, waiting := e.List(), e.Waiting()
	require.Len(t, list, cell.MaxTasks)
	require.Len(t, waiting, cell.MaxJobs)
	for _, answer := range []any{list, waiting} {
		require.EqualValues(t, 200, operateReply(200, answer).GetOperate().GetStatus())
	}
}

// TestTooLargeAnswerIsRefused checks that an answer above maxAnswerBytes is refused with a reason. The session could
// not carry it, and the leader would seem not to answer.
func TestTooLargeAnswerIsRefused(t *testing.T) {
	got := operateReply(200, strings.Repeat("x", maxAnswerBytes)).GetOperate()
	require.EqualValues(t, 413, got.GetStatus())
	problem := &Problem{}
	require.NoError(t, json.Unmarshal(got.GetBody(), problem))
	require.Equal(t, reason.AnswerTooLarge.String(), problem.Reason)
}

// BenchmarkList measures how long the list of tasks of a full cell occupies the control goroutine.
func BenchmarkList(b *testing.B) {
	e := fullCell(b)
	for b.Loop() {
		e.List()
	}
}

// BenchmarkWaiting measures how long the list of waiting jobs of a full cell occupies the control goroutine.
func BenchmarkWaiting(b *testing.B) {
	e := fullCell(b)
	for b.Loop() {
		e.Waiting()
	}
}
