package main

type noArguments struct{}

type explainArgument struct {
	Key string `arg:"positional,required" help:"key of a row, KEY@RUN, or a task, submitted job, worker, target, entry process or control member"`
}

type cancelArgument struct {
	Key string `arg:"positional,required" help:"key of a row, or KEY@RUN"`
}

type fileArgument struct {
	File string `arg:"positional,required" help:"file to send"`
}

// changeOptions are the options that all changes share.
type changeOptions struct {
	ChangeID string  `arg:"--change-id" help:"identity of the change; use the same one to send it again" placeholder:"ID"`
	Revision *uint64 `arg:"--revision" help:"revision that the change was made from; default: the present one" placeholder:"N"`
}

type applyCommand struct {
	fileArgument
	changeOptions
	ConfirmStops uint32 `arg:"--confirm-stops" help:"confirm that this many tasks stop" placeholder:"N"`
}

type configureCommand struct {
	fileArgument
	changeOptions
}

type cancelCommand struct {
	cancelArgument
	changeOptions
}

type workerCommand struct {
	Worker string `arg:"positional,required" help:"name of the worker"`
	changeOptions
}

type entryCommand struct {
	Entry string `arg:"positional,required" help:"name of the entry process, or unknown"`
}

type arguments struct {
	Status     *noArguments      `arg:"subcommand:status" help:"say whether everything is in order; problems come first"`
	List       *noArguments      `arg:"subcommand:list" help:"list all tasks"`
	Waiting    *noArguments      `arg:"subcommand:waiting" help:"list the jobs that wait, for what, and since when"`
	Why        *explainArgument  `arg:"subcommand:why" help:"explain a row, a task, a submitted job, a worker or a target"`
	Queues     *noArguments      `arg:"subcommand:queues" help:"list the queues: what waits, what runs and for how long"`
	Workspaces *noArguments      `arg:"subcommand:workspaces" help:"list the workspaces: what they use, their limits, and what waits"`
	Hosts      *noArguments      `arg:"subcommand:hosts" help:"list control members, entry processes and workers"`
	Targets    *noArguments      `arg:"subcommand:targets" help:"list the targets and who owns them"`
	History    *noArguments      `arg:"subcommand:history" help:"list the accepted changes"`
	Plan       *fileArgument     `arg:"subcommand:plan" help:"show what a sheet would start, change and stop"`
	Apply      *applyCommand     `arg:"subcommand:apply" help:"put a sheet in force"`
	Configure  *configureCommand `arg:"subcommand:configure" help:"put a configuration in force"`
	Cancel     *cancelCommand    `arg:"subcommand:cancel" help:"cancel a row"`
	Drain      *workerCommand    `arg:"subcommand:drain" help:"move all tasks off a worker"`
	Undrain    *workerCommand    `arg:"subcommand:undrain" help:"let a worker take tasks again"`
	Forget     *entryCommand     `arg:"subcommand:forget-entry" help:"free the slots reserved for an entry process whose host never returns"`

	Entries string `arg:"--entries,env:FLAMINGO_ENTRIES" help:"addresses of entry processes, separated by commas" placeholder:"LIST"`
	Token   string `arg:"--token-file,env:FLAMINGO_TOKEN_FILE" help:"file that holds the operator's token" placeholder:"FILE"`
	Output  string `arg:"-o,--output" default:"table" help:"table or json"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "flamingoctl asks a cell what runs, what waits and why, and changes what is intended."
}

// Epilogue is shown at the end of --help.
func (arguments) Epilogue() string {
	return "Exit codes:\n" +
		"  0  done\n" +
		"  1  refused; nothing was changed\n" +
		"  2  wrong call, or a file that cannot be read; nothing was sent\n" +
		"  3  no answer; a change may have been accepted: send it again with the same --change-id and --revision\n" +
		"  4  not found\n" +
		"  5  unauthorized\n" +
		"With -o json, answers and refusals are written to standard output as JSON."
}
