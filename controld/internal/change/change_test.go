package change_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/controld/internal/change"
	"flamingodrift.example/core/reason"
	"flamingodrift.example/core/wire"
)

// Guards against storing more than MaxChanges changes, and against returning a result to another operator.
func TestLog(t *testing.T) {
	log := change.New()
	for i := range change.MaxChanges + 1 {
		log.Add(&wire.Change{Id: fmt.Sprint(i), Operator: "anna"}, &wire.Result{Revision: uint64(i)})
	}
	log = change.Restore(log.State())
	require.Len(t, log.State(), change.MaxChanges)
	require.Nil(t, log.Find(&wire.Change{Id: "0", Operator: "anna"}), "the oldest is dropped")
	require.EqualValues(t, 1, log.Find(&wire.Change{Id: "1", Operator: "anna"}).GetRevision())
	require.Equal(t, reason.ChangeIDReused.String(), log.Find(&wire.Change{Id: "1", Operator: "ben"}).GetReason())
}
