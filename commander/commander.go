// Package commander is the entry of the acaciaproxy program: it finds the verb
// in one table, which also feeds the help pages, and runs it.
package commander

import (
	"flag"
	"fmt"
	"io"
)

// Exit codes of every verb.
const (
	// ExitDone means that the verb did what was asked.
	ExitDone = 0
	// ExitRefused means that it did not, for reasons given one a line.
	ExitRefused = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
)

const program = "acaciaproxy"

// Version is the program's version.
const Version = "0.1.0"

// streams are where a verb writes.
type streams struct {
	out, err io.Writer
}

// verb is one command of the program. Every verb has a file of its own.
type verb struct {
	// name is what the user types, unique.
	name string
	// summary is one line for the list of verbs.
	summary string
	// arguments follow the flags in the usage line, possibly empty.
	arguments string
	// details are paragraphs for the verb's help page.
	details string
	// prepare defines the verb's flags and returns the work, which gets the arguments after the flags.
	prepare func(flags *flag.FlagSet) func(arguments []string, s streams) int
}

// verbs is the table of all commands, in the order of the help page.
func verbs() []verb {
	return []verb{
		verbServe(), verbCheck(), verbDiff(), verbPublish(), verbShow(), verbExplain(), verbStatus(), verbTrace(), verbReport(), verbVersion(), verbHelp(),
	}
}

func findVerb(name string) (verb, bool) {
	for _, candidate := range verbs() {
		if candidate.name == name {
			return candidate, true
		}
	}
	return verb{}, false
}

// Main runs the program with the arguments after its name and returns the exit code.
func Main(arguments []string, out, err io.Writer) int {
	s := streams{out: out, err: err}
	if len(arguments) == 0 {
		printMainHelp(s.err)
		return ExitUsage
	}
	name := arguments[0]
	if name == "-h" || name == "--help" || name == "-help" {
		printMainHelp(s.out)
		return ExitDone
	}
	found, known := findVerb(name)
	if !known {
		fmt.Fprintf(s.err, "%s: verb %q is not known; see '%s help verbs'\n", program, name, program)
		return ExitUsage
	}
	return found.run(arguments[1:], s)
}

// run parses the flags and does the verb's work.
func (v verb) run(arguments []string, s streams) int {
	flags := flag.NewFlagSet(v.name, flag.ContinueOnError)
	flags.SetOutput(s.err)
	work := v.prepare(flags)
	flags.Usage = func() { v.printUsage(s.err) }
	if err := flags.Parse(arguments); err != nil {
		if err == flag.ErrHelp {
			return ExitDone
		}
		return ExitUsage
	}
	return work(flags.Args(), s)
}

// printUsage prints the verb's help page.
func (v verb) printUsage(w io.Writer) {
	fmt.Fprintf(w, "Usage: %s %s [flags] %s\n%s\n", program, v.name, v.arguments, v.summary)
	if v.details != "" {
		fmt.Fprintf(w, "\n%s\n", v.details)
	}
	flags := flag.NewFlagSet(v.name, flag.ContinueOnError)
	flags.SetOutput(w)
	v.prepare(flags)
	hasFlags := false
	flags.VisitAll(func(*flag.Flag) { hasFlags = true })
	if hasFlags {
		fmt.Fprintln(w, "\nFlags:")
		flags.PrintDefaults()
	}
}

// usageError reports a wrong command line and returns the exit code.
func (v verb) usageError(s streams, format string, arguments ...any) int {
	fmt.Fprintf(s.err, "%s %s: %s\n", program, v.name, fmt.Sprintf(format, arguments...))
	fmt.Fprintf(s.err, "See '%s help %s'.\n", program, v.name)
	return ExitUsage
}

// refuse reports why a verb did not do what was asked and returns the exit code.
func (v verb) refuse(s streams, err error) int {
	fmt.Fprintf(s.err, "%s %s: %v\n", program, v.name, err)
	return ExitRefused
}
