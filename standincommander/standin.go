// Package standincommander is the command line of the standin program, which runs a
// stand-in for the platform, for a model engine or for a register.
package standincommander

import (
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/acaciaproxy/acaciaproxy/enginestandin"
	"github.com/acaciaproxy/acaciaproxy/platformstandin"
	"github.com/acaciaproxy/acaciaproxy/registerstandin"
)

// role is an external system that the program can simulate, selected by the first argument.
type role struct {
	name, summary string
	// prepare defines the role's flags and returns the function that serves at a listener
	// after the flags are parsed; it returns only on an error.
	prepare func(flags *flag.FlagSet) func(listener net.Listener) error
}

func roles() []role {
	return []role{
		{"platform", "transactional table, object store, weight store and host list", preparePlatform},
		{"engine", "model engine", prepareEngine},
		{"register", "plain service whose assignments must not be repeated", prepareRegister},
	}
}

// Main runs the program with the arguments after its name and returns the exit code: 0 after
// SIGTERM or SIGINT, 1 when it cannot listen or serve, 2 for invalid arguments or -help.
func Main(arguments []string, out, errors io.Writer) int {
	if len(arguments) == 0 {
		fmt.Fprintln(errors, "Usage: standin ROLE -listen ADDRESS [flags]")
		for _, r := range roles() {
			fmt.Fprintf(errors, "  %-9s %s\n", r.name, r.summary)
		}
		return 2
	}
	for _, r := range roles() {
		if r.name == arguments[0] {
			return r.run(arguments[1:], out, errors)
		}
	}
	fmt.Fprintf(errors, "standin: role %q is not known; the roles are platform, engine and register\n", arguments[0])
	return 2
}

func (r role) run(arguments []string, out, errors io.Writer) int {
	flags := flag.NewFlagSet("standin "+r.name, flag.ContinueOnError)
	flags.SetOutput(errors)
	address := flags.String("listen", "127.0.0.1:0", "`address` to listen at")
	serve := r.prepare(flags)
	if err := flags.Parse(arguments); err != nil {
		return 2
	}
	listener, err := net.Listen("tcp", *address)
	if err != nil {
		fmt.Fprintf(errors, "standin %s: %v\n", r.name, err)
		return 1
	}
	fmt.Fprintf(out, "standin %s listens at %s\n", r.name, listener.Addr())
	serveErrors := make(chan error, 1)
	go func() { serveErrors <- serve(listener) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-serveErrors:
		fmt.Fprintf(errors, "standin %s: %v\n", r.name, err)
		return 1
	case <-signals:
		return 0
	}
}

func preparePlatform(flags *flag.FlagSet) func(net.Listener) error {
	rate := flags.Float64("rate", 12, "model fetches that the weight store starts per second")
	parallel := flags.Int("parallel", 4, "concurrent model fetches at full speed")
	transit := flags.Int("transit", 32, "concurrent adapter fetches at full speed")
	return func(listener net.Listener) error {
		return platformstandin.New(platformstandin.Settings{Rate: *rate, Parallel: *parallel, Transit: *transit}).Serve(listener)
	}
}

const bytesPerGiB = 1 << 30

func prepareEngine(flags *flag.FlagSet) func(net.Listener) error {
	var settings enginestandin.Settings
	flags.StringVar(&settings.ID, "id", "engine", "`name` in the host list")
	flags.StringVar(&settings.Platform, "platform", "", "`address` of the platform's weight store")
	memoryGiB := flags.Float64("memory", 80, "memory for models in GiB")
	flags.BoolVar(&settings.Fencing, "fencing", false, "refuse orders with an old fencing number")
	flags.Int64Var(&settings.FirstTokenMS, "first", 20, "time to the first token in `milliseconds`")
	flags.Int64Var(&settings.TokenMS, "token", 5, "time between tokens in `milliseconds`")
	flags.IntVar(&settings.Slots, "slots", 32, "requests that run concurrently")
	return func(listener net.Listener) error {
		settings.Memory = int64(*memoryGiB * bytesPerGiB)
		return enginestandin.New(settings).Serve(listener)
	}
}

func prepareRegister(*flag.FlagSet) func(net.Listener) error {
	return func(listener net.Listener) error { return registerstandin.New(listener).Serve() }
}
