package logger

import "log/slog"

// Events of all programs.
var (
	Started          = define(1001, slog.LevelInfo, "program started")
	ShutdownStarted  = define(1002, slog.LevelInfo, "graceful shutdown started")
	ShutdownFinished = define(1003, slog.LevelInfo, "graceful shutdown finished")
	ShutdownTimedOut = define(1004, slog.LevelWarn, "graceful shutdown reached its time limit")
	Fatal            = define(1005, slog.LevelError, "program stops after an error it cannot recover from")
)

// Events of controld.
var (
	LeaderStarted     = define(2001, slog.LevelInfo, "this node became the leader")
	LeaderStopped     = define(2002, slog.LevelWarn, "this node stopped leading")
	SnapshotStored    = define(2003, slog.LevelInfo, "snapshot stored")
	SnapshotInstalled = define(2004, slog.LevelInfo, "snapshot received from the leader and installed")
	DiskFull          = define(2005, slog.LevelError, "disk is full; changes are refused")
	MemberChanged     = define(2006, slog.LevelInfo, "membership of the consensus group changed")
	JoinRefused       = define(2007, slog.LevelWarn, "request to join the consensus group refused")
	RemovedFromGroup  = define(2008, slog.LevelError, "this node was removed from the consensus group")
	WorkerRegistered  = define(2101, slog.LevelInfo, "worker registered")
	WorkerLost        = define(2102, slog.LevelWarn, "worker lease ran out; its tasks are placed anew")
	PollRefused       = define(2103, slog.LevelWarn, "worker poll refused")
	ChangeAccepted    = define(2201, slog.LevelInfo, "operator change accepted")
	ChangeRefused     = define(2202, slog.LevelWarn, "operator change refused")
	EntryLost         = define(2301, slog.LevelWarn, "entry process lease ran out; its targets get new owners")
)

// Events of entryd.
var (
	BecameCurrent   = define(3001, slog.LevelInfo, "configuration is confirmed; requests are accepted")
	BecameOutdated  = define(3002, slog.LevelError, "configuration cannot be confirmed; requests are refused")
	ConfigReceived  = define(3003, slog.LevelInfo, "configuration received")
	TargetOwned     = define(3101, slog.LevelInfo, "this entry process now owns the target")
	TargetReleased  = define(3102, slog.LevelInfo, "this entry process no longer owns the target")
	TargetUnhealthy = define(3103, slog.LevelWarn, "target failed requests; it gets a smaller share")
	RequestUnknown  = define(3201, slog.LevelWarn, "request ended with an unknown outcome")
)
