// Command frontd accepts the jobs of callers and passes them on to the leading control process.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/samber/oops"

	"flamingodrift.example/core/kratoslogger"
	"flamingodrift.example/core/linewriter"
	"flamingodrift.example/core/loader"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/starter"
	"flamingodrift.example/frontd/internal/settings"
)

// shutdownMargin is the time to close sessions and listeners after the requests in progress have ended.
const shutdownMargin = time.Second

type arguments struct {
	Settings string `arg:"--settings,required" help:"settings file, JSON with comments" placeholder:"FILE"`
	Check    bool   `arg:"--check" help:"check the settings file and exit"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "frontd takes the jobs of callers and passes them on to the leading control process."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	cfg := &settings.Settings{}
	starter.LoadOrExit(args.Settings, args.Check, cfg)
	out := linewriter.New(os.Stdout)
	log := logger.New(out, "frontd", cfg.Name)
	klog.SetLogger(kratoslogger.New(log))
	err := run(args.Settings, cfg, log)
	if err != nil {
		logger.Fatal.Log(log, "error", err.Error())
	}
	out.Close()
	if err != nil {
		os.Exit(1)
	}
}

func run(file string, cfg *settings.Settings, log *slog.Logger) error {
	debug.SetMemoryLimit(int64(cfg.MemoryLimitMB) << 20)
	d, err := assemble(cfg, log)
	if err != nil {
		return err
	}
	go reloadOnSignal(file, d, log)
	app := kratos.New(
		kratos.Name("frontd"),
		kratos.Server(d),
		kratos.StopTimeout(loader.Milliseconds(cfg.StopMs)+shutdownMargin),
		kratos.AfterStart(func(context.Context) error {
			logger.Started.Log(log, "address", cfg.Address, "caller_address", cfg.CallerAddress)
			return nil
		}),
		kratos.BeforeStop(func(context.Context) error {
			logger.ShutdownStarted.Log(log)
			d.drain(loader.Milliseconds(cfg.NoticeMs))
			return nil
		}),
	)
	if err := app.Run(); err != nil {
		return oops.In("frontd").With("name", cfg.Name).Wrapf(err, "run")
	}
	logger.ShutdownFinished.Log(log)
	return nil
}

// reloadOnSignal reloads the settings file on SIGHUP. Only a change of the seeds takes effect.
func reloadOnSignal(file string, d *daemon, log *slog.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for range signals {
		cfg := &settings.Settings{}
		if err := loader.Load(file, cfg); err != nil {
			logger.ReloadFailed.Log(log, "error", err.Error())
			continue
		}
		d.leader.SetControls(loader.SamePortAddresses(cfg.Seeds, cfg.Address))
		logger.Reloaded.Log(log, "seeds", len(cfg.Seeds))
	}
}
