// Command entryd is the entry process of a cell: it serves callers, targets, workers and operators.
package main

import (
	"context"
	"log/slog"
	"net"
	"os"
	"runtime/debug"

	"github.com/alexflint/go-arg"
	"github.com/go-kratos/kratos/v2"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/samber/oops"

	"flamingodrift.example/entryd/internal/settings"

	"flamingodrift.example/core/kratoslogger"
	"flamingodrift.example/core/linewriter"
	"flamingodrift.example/core/loader"
	"flamingodrift.example/core/logger"
	"flamingodrift.example/core/starter"
)

type arguments struct {
	Settings string `arg:"--settings,required" help:"settings file, JSON with comments" placeholder:"FILE"`
	Check    bool   `arg:"--check" help:"check the settings file and exit"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "entryd is the entry process of a cell: callers, targets, workers and operators talk to it."
}

func main() {
	var args arguments
	arg.MustParse(&args)
	cfg := &settings.Settings{}
	starter.LoadOrExit(args.Settings, args.Check, cfg)
	out := linewriter.New(os.Stdout)
	log := logger.New(out, "entryd", cfg.Name)
	klog.SetLogger(kratoslogger.New(log))
	err := run(cfg, log)
	if err != nil {
		logger.Fatal.Log(log, "error", err.Error())
	}
	out.Close()
	if err != nil {
		os.Exit(1)
	}
}

func run(cfg *settings.Settings, log *slog.Logger) error {
	debug.SetMemoryLimit(int64(cfg.MemoryLimitMB) << 20)
	d, err := assemble(cfg, log)
	if err != nil {
		return err
	}
	app := kratos.New(
		kratos.Name("entryd"),
		kratos.Server(d.http, d),
		kratos.StopTimeout(loader.Milliseconds(cfg.StopMs)),
		kratos.AfterStart(func(context.Context) error {
			logger.Started.Log(log, "address", cfg.Address, "http_address", cfg.HTTPAddress)
			return nil
		}),
		kratos.BeforeStop(func(context.Context) error {
			logger.ShutdownStarted.Log(log)
			if !d.drain(loader.Milliseconds(cfg.DrainMs), loader.Milliseconds(cfg.StopMs)) {
				logger.ShutdownTimedOut.Log(log, "requests_in_progress", d.gateway.Active())
			}
			return nil
		}),
	)
	if err := app.Run(); err != nil {
		return oops.In("entryd").With("name", cfg.Name).Wrapf(err, "run")
	}
	logger.ShutdownFinished.Log(log)
	return nil
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, oops.In("messenger").With("address", address).Wrapf(err, "listen")
	}
	return listener, nil
}
