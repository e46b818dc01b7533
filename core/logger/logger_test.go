package logger_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"flamingodrift.example/core/logger"
)

// TestDocs guards against differences between docs/events.md and the defined events in number, level or message.
func TestDocs(t *testing.T) {
	data, err := os.ReadFile("../../docs/events.md")
	require.NoError(t, err)
	var documented []string
	for _, row := range regexp.MustCompile(
		`(?m)^\| (FD\d{4}) \| (\w+) \| ([^|]+) \| [^|]+ \|$`).FindAllStringSubmatch(string(data), -1) {
		documented = append(documented, strings.Join(row[1:], " "))
	}
	var defined []string
	numbers := map[int]bool{}
	for _, e := range logger.Catalogue() {
		require.False(t, numbers[e.Number()], "number %d is used twice", e.Number())
		numbers[e.Number()] = true
		defined = append(defined, fmt.Sprintf("%s %s %s", e.Code(), strings.ToLower(e.Level().String()), e.Text()))
	}
	require.ElementsMatch(t, defined, documented)
}

// TestLine guards the attributes that operators filter by.
func TestLine(t *testing.T) {
	var out bytes.Buffer
	logger.Started.Log(logger.New(&out, "controld", "control-1"), "address", "127.0.0.1:1")
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	delete(line, "time")
	require.Equal(t, map[string]any{
		"level": "INFO", "msg": "program started", "event": "FD1001", "program": "controld", "host": "control-1",
		"address": "127.0.0.1:1",
	}, line)
}
