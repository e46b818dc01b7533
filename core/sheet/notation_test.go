package sheet

import (
	"encoding/csv"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// writeSheet formats rows as CSV in one of the ways that Parse accepts, drawn at random. Empty columns and blank lines
// at the end must not matter.
func writeSheet(t *rapid.T, label string, number uint64, rows []map[string]string) []byte {
	var text strings.Builder
	w := csv.NewWriter(&text)
	w.UseCRLF = rapid.Bool().Draw(t, label+" crlf")
	if rapid.Bool().Draw(t, label+" semicolons") {
		w.Comma = ';'
	}
	decimal := rapid.SampledFrom([]string{".", ","}).Draw(t, label+" decimal")
	order := rapid.Permutation(columns).Draw(t, label+" columns")
	blank := make([]string, rapid.IntRange(0, 3).Draw(t, label+" empty columns"))
	records := [][]string{append([]string{"sheet", fmt.Sprint(number)}, blank...), nil}
	for _, c := range order {
		records[1] = append(records[1], c.name)
	}
	records[1] = append(records[1], blank...)
	for _, row := range rows {
		var record []string
		for _, c := range order {
			value := row[c.name]
			if c.name == "processors" {
				value = strings.Replace(value, ".", decimal, 1)
			}
			record = append(record, value)
		}
		records = append(records, append(record, blank...))
	}
	if err := w.WriteAll(records); err != nil {
		t.Fatal(err)
	}
	tail := strings.Repeat("\n", rapid.IntRange(0, 2).Draw(t, label+" blank lines"))
	bom := rapid.SampledFrom([]string{"", "\xef\xbb\xbf"}).Draw(t, label+" bom")
	return []byte(bom + text.String() + tail)
}

// TestFormattingKeepsDigest guards against refusing another export of the same sheet as different content.
func TestFormattingKeepsDigest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var rows []map[string]string
		for i := range rapid.IntRange(0, 5).Draw(t, "rows") {
			rows = append(rows, map[string]string{
				"key": fmt.Sprintf("k%d", i), "team": "t", "kind": rapid.SampledFrom([]string{
					"batch", "all_at_once",
				}).Draw(t, "kind"),
				"processors": rapid.SampledFrom([]string{"1", "1.5", "0.25"}).Draw(t, "processors"), "memory_mb": "64",
				"tasks":   rapid.SampledFrom([]string{"", "1", "7"}).Draw(t, "tasks"),
				"urgency": rapid.SampledFrom([]string{"", "normal", "low"}).Draw(t, "urgency"),
				"command": rapid.StringMatching(`[a-z][a-z ,;"\n]{0,20}[a-z]`).Draw(t, "command"),
			})
		}
		first, err := Parse(writeSheet(t, "first", 7, rows))
		require.NoError(t, err)
		second, err := Parse(writeSheet(t, "second", 7, rows))
		require.NoError(t, err)
		require.Equal(t, first.Digest(), second.Digest())
	})
}
