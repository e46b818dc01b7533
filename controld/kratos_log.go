package main

import (
	"context"
	"fmt"
	"log/slog"

	klog "github.com/go-kratos/kratos/v2/log"
)

// kratosLog passes what the kratos library logs on as JSON lines, and leaves out its messages below a warning: they
// repeat the program's own events.
type kratosLog struct{ logger *slog.Logger }

// Log implements the library's interface.
func (k kratosLog) Log(level klog.Level, keyvals ...any) error {
	switch {
	case level < klog.LevelWarn:
	case level == klog.LevelWarn:
		k.logger.Log(context.Background(), slog.LevelWarn, fmt.Sprint(keyvals...))
	default:
		k.logger.Log(context.Background(), slog.LevelError, fmt.Sprint(keyvals...))
	}
	return nil
}
