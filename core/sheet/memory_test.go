package sheet

import (
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzMemory guards against a small sheet that takes much memory when it is parsed. The bounds are for what is allocated in
// total, garbage included.
func FuzzMemory(f *testing.F) {
	const header = "sheet,1\nkey,team,kind,processors,memory_mb,command\n"
	const allocatedFactor, allocatedFree = 64, 4 << 20
	for _, seed := range []string{
		header + "a,t,batch,1,1,x\n", strings.Repeat("\n", 200_000), header + strings.Repeat(",,,,,\n", 50_000),
		header + strings.Repeat("a,t,batch,1,1,x\n", 20_000), strings.Repeat(",", 200_000), header + strings.Repeat("\"\"\n", 100_000),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, _ = Parse(data)
		runtime.ReadMemStats(&after)
		allocated := after.TotalAlloc - before.TotalAlloc
		require.LessOrEqual(t, allocated, uint64(allocatedFree+allocatedFactor*len(data)))
	})
}
