// Package kratoslogger adapts slog to the logger interface of the kratos library.
package kratoslogger

import (
	"context"
	"fmt"
	"log/slog"

	klog "github.com/go-kratos/kratos/v2/log"
)

// Logger writes the library's messages to a slog.Logger. It drops those below warning level, which only repeat the
// program's own events.
type Logger struct {
	logger *slog.Logger
}

// New returns a Logger that writes to l.
func New(l *slog.Logger) *Logger { return &Logger{logger: l} }

// Log implements the library's Logger interface. It always returns nil.
func (l *Logger) Log(level klog.Level, keyvals ...any) error {
	switch {
	case level < klog.LevelWarn:
	case level == klog.LevelWarn:
		l.logger.Log(context.Background(), slog.LevelWarn, fmt.Sprint(keyvals...))
	default:
		l.logger.Log(context.Background(), slog.LevelError, fmt.Sprint(keyvals...))
	}
	return nil
}
