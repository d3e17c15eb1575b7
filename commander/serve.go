package commander

import (
	"flag"
	"os"
	"syscall"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/server"
	"github.com/acaciaproxy/acaciaproxy/settingsreader"
	"github.com/acaciaproxy/acaciaproxy/signalhandler"
)

func verbServe() verb {
	return verb{
		name:      "serve",
		summary:   "Runs one node until SIGTERM or SIGINT; it then finishes its requests in flight and stops.",
		arguments: "-settings FILE",
		details:   "All nodes are equal; which one leads a zone is decided by a lease in the platform's table.",
		prepare:   prepareServe,
	}
}

func prepareServe(flags *flag.FlagSet) func([]string, streams) int {
	path := flags.String("settings", "", "settings `file` of this node; see 'acaciaproxy help settings'")
	return func(arguments []string, s streams) int {
		if *path == "" || len(arguments) > 0 {
			return verbServe().usageError(s, "-settings FILE is needed and nothing else; got %q", arguments)
		}
		return serve(*path, s)
	}
}

func serve(path string, s streams) int {
	// Subscribe before anything else, so that no signal is missed.
	signals := make(chan os.Signal, 4)
	defer signalhandler.Notify(signals)()
	settings, err := settingsreader.Read(path)
	if err != nil {
		return failWithFaults(verbServe(), s, err)
	}
	logger.Open(settings.LogLevel(), s.stdout)
	defer logger.Close()
	run, err := newNode(settings)
	if err != nil {
		return verbServe().fail(s, err)
	}
	stop := make(chan struct{})
	go func() {
		for received := range signals {
			if received != syscall.SIGHUP {
				close(stop)
				return
			}
			reload(path)
		}
	}()
	if err := run(stop); err != nil {
		return verbServe().fail(s, err)
	}
	return ExitSuccess
}

// newNode creates the node for the form of platform in the settings and returns
// its run function, which blocks until stop is closed or the node fails.
func newNode(settings *settingsreader.Settings) (run func(stop <-chan struct{}) error, err error) {
	if settings.Form() == settingsreader.FormFleet {
		node, err := server.NewFleetNode(settings)
		if err != nil {
			return nil, err
		}
		return node.Run, nil
	}
	node, err := server.New(settings)
	if err != nil {
		return nil, err
	}
	return node.Run, nil
}

// reload reads the settings file again and applies its log level. All other
// settings, such as addresses, take effect at the next start.
func reload(path string) {
	settings, err := settingsreader.Read(path)
	if err != nil {
		log.Error().Err(err).Msg("settings could not be reloaded; the log level stays as it is")
		return
	}
	log.DefaultLogger.SetLevel(log.ParseLevel(settings.LogLevel()))
	log.Info().Str("level", settings.LogLevel()).Msg("log level reloaded from the settings")
}

// failWithFaults prints one line for each configuration fault in err, or err
// itself when it holds none, and returns ExitFailure.
func failWithFaults(v verb, s streams, err error) int {
	faults := configreader.AsFaults(err)
	if faults == nil {
		return v.fail(s, err)
	}
	for _, fault := range faults {
		writeLine(s.stderr, fault.String())
	}
	return ExitFailure
}
