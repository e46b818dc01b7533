// Package kratoslogger passes on what the kratos library logs.
package kratoslogger

import (
	"context"
	"fmt"
	"log/slog"

	klog "github.com/go-kratos/kratos/v2/log"
)

// Logger writes the library's messages as JSON lines, and leaves out those below a warning: they repeat the program's own
// events.
type Logger struct {
	logger *slog.Logger
}

// New returns a Logger that writes to l.
func New(l *slog.Logger) *Logger { return &Logger{logger: l} }

// Log implements the library's interface. It never fails.
func (k *Logger) Log(level klog.Level, keyvals ...any) error {
	switch {
	case level < klog.LevelWarn:
	case level == klog.LevelWarn:
		k.logger.Log(context.Background(), slog.LevelWarn, fmt.Sprint(keyvals...))
	default:
		k.logger.Log(context.Background(), slog.LevelError, fmt.Sprint(keyvals...))
	}
	return nil
}
