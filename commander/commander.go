// Package commander implements the command line of the acaciaproxy program: it
// looks up the verb in one table, which the help pages are also built from, and
// runs it.
package commander

import (
	"flag"
	"fmt"
	"io"
)

// Exit codes of every verb.
const (
	// ExitSuccess means that the verb completed.
	ExitSuccess = 0
	// ExitFailure means that the verb failed; each reason is one line on standard error.
	ExitFailure = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
)

const program = "acaciaproxy"

// Version is the program's version, "major.minor.patch".
const Version = "0.1.0"

// streams are the output streams of a verb.
type streams struct {
	stdout, stderr io.Writer
}

// verb is one subcommand of the program. Each verb is defined in a file of its own.
type verb struct {
	// name selects the verb on the command line; it is unique.
	name string
	// summary is its line in the list of verbs.
	summary string
	// arguments is the part of the usage line after the flags; it may be empty.
	arguments string
	// details is further text of the verb's help page; it may be empty.
	details string
	// prepare registers the verb's flags and returns its action, which gets the arguments after the flags
	// and returns the exit code.
	prepare func(flags *flag.FlagSet) func(arguments []string, s streams) int
}

// verbs returns all verbs in the order of the help page.
func verbs() []verb {
	return []verb{
		verbServe(), verbCheck(), verbDiff(), verbPublish(), verbShow(), verbExplain(), verbWhere(), verbStatus(), verbTrace(),
		verbReport(), verbVersion(), verbHelp(),
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
func Main(arguments []string, stdout, stderr io.Writer) int {
	s := streams{stdout: stdout, stderr: stderr}
	if len(arguments) == 0 {
		printMainHelp(s.stderr)
		return ExitUsage
	}
	name := arguments[0]
	if name == "-h" || name == "--help" || name == "-help" {
		printMainHelp(s.stdout)
		return ExitSuccess
	}
	found, known := findVerb(name)
	if !known {
		fmt.Fprintf(s.stderr, "%s: verb %q is not known; see '%s help verbs'\n", program, name, program)
		return ExitUsage
	}
	return found.run(arguments[1:], s)
}

// run parses the flags and runs the verb's action.
func (v verb) run(arguments []string, s streams) int {
	flags := flag.NewFlagSet(v.name, flag.ContinueOnError)
	flags.SetOutput(s.stderr)
	action := v.prepare(flags)
	flags.Usage = func() { v.printUsage(s.stderr) }
	if err := flags.Parse(arguments); err != nil {
		if err == flag.ErrHelp {
			return ExitSuccess
		}
		return ExitUsage
	}
	return action(flags.Args(), s)
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

// usageError prints what is wrong with the command line and returns ExitUsage.
func (v verb) usageError(s streams, format string, arguments ...any) int {
	fmt.Fprintf(s.stderr, "%s %s: %s\n", program, v.name, fmt.Sprintf(format, arguments...))
	fmt.Fprintf(s.stderr, "See '%s help %s'.\n", program, v.name)
	return ExitUsage
}

// fail prints the error that made the verb fail and returns ExitFailure.
func (v verb) fail(s streams, err error) int {
	fmt.Fprintf(s.stderr, "%s %s: %v\n", program, v.name, err)
	return ExitFailure
}
