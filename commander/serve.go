package commander

import (
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/configurer"
	"github.com/acaciaproxy/acaciaproxy/server"
	"github.com/acaciaproxy/acaciaproxy/settingsreader"
)

func verbServe() verb {
	return verb{
		name:      "serve",
		summary:   "Runs one node until SIGTERM or SIGINT, then stops without cutting a request.",
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
	settings, err := settingsreader.Read(path)
	if err != nil {
		return refuseFaults(verbServe(), s, err)
	}
	log.DefaultLogger = log.Logger{
		Level: log.ParseLevel(settings.LogLevel()), TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer: &log.IOWriter{Writer: s.err},
	}
	node, err := server.New(settings)
	if err != nil {
		return verbServe().refuse(s, err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
	}()
	if err := node.Run(stop); err != nil {
		return verbServe().refuse(s, err)
	}
	return ExitDone
}

// refuseFaults prints one line for each fault in err, or err itself.
func refuseFaults(v verb, s streams, err error) int {
	faults := configurer.AsFaults(err)
	if faults == nil {
		return v.refuse(s, err)
	}
	for _, fault := range faults {
		writeLine(s.err, fault.String())
	}
	return ExitRefused
}
