package commander

import (
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/settingsreader"
)

func verbHelp() verb {
	return verb{
		name:      "help",
		summary:   "Prints help on a topic, a verb or a keyword.",
		arguments: "[TOPIC | VERB | KEYWORD]...",
		prepare:   prepareHelp,
	}
}

// topic is a help page on something other than a verb.
type topic struct {
	name, summary string
	print         func(w io.Writer)
}

func topics() []topic {
	return []topic{
		{"topics", "Lists the topics.", printTopics},
		{"verbs", "Lists the verbs.", printVerbs},
		{"configuration", "Describes every kind of configuration object.", printConfiguration},
		{"settings", "Describes a node's settings file.", printSettings},
		{"headers", "Describes the headers of the callers' interface.", printHeaders},
		{"outcomes", "Describes how a request can end.", printOutcomes},
		{"exit", "Describes the exit codes.", printExit},
	}
}

func prepareHelp(*flag.FlagSet) func([]string, streams) int {
	return func(arguments []string, s streams) int {
		if len(arguments) == 0 {
			printMainHelp(s.stdout)
			return ExitSuccess
		}
		for _, word := range arguments {
			if !printHelpOn(s.stdout, word) {
				return verbHelp().usageError(s, "no topic, verb or keyword is named %q", word)
			}
		}
		return ExitSuccess
	}
}

func printMainHelp(w io.Writer) {
	fmt.Fprintf(w, "Usage: %s VERB [flags] [arguments]\n\nServes rarely used models from a shared set of workers.\n\n", program)
	printVerbs(w)
	fmt.Fprintf(w, "\nSee '%s help VERB' for a verb and '%s help topics' for everything else.\n", program, program)
}

// printHelpOn prints help on a topic, a verb, or a configuration kind or key,
// in this order of precedence. It reports whether the word is any of these.
func printHelpOn(w io.Writer, word string) bool {
	for _, t := range topics() {
		if t.name == word {
			t.print(w)
			return true
		}
	}
	if found, known := findVerb(word); known {
		found.printUsage(w)
		return true
	}
	return printKeyword(w, word)
}

func printTopics(w io.Writer) {
	for _, t := range topics() {
		fmt.Fprintf(w, "%-14s %s\n", t.name, t.summary)
	}
}

func printVerbs(w io.Writer) {
	for _, v := range verbs() {
		fmt.Fprintf(w, "%-9s %s\n", v.name, v.summary)
	}
}

func printConfiguration(w io.Writer) {
	fmt.Fprintln(w, "A folder of *.json files (JSON with comments) holds the configuration. Each file is one JSON object that holds lists of these kinds:")
	for _, kind := range configreader.Kinds() {
		printKind(w, kind)
	}
}

func printKind(w io.Writer, kind configreader.Kind) {
	plural, help, fields := configreader.Describe(kind)
	fmt.Fprintf(w, "\n%q: %s\n", plural, help)
	fmt.Fprintf(w, "  %-13s %-14s %s\n", "name", "text", "unique name of the object; required")
	printFields(w, fields)
}

func printFields(w io.Writer, fields []configreader.Field) {
	for _, field := range fields {
		suffix := ""
		if field.Required() {
			suffix = "; required"
		}
		fmt.Fprintf(w, "  %-13s %-14s %s%s\n", field.Key(), field.Type(), field.Help(), suffix)
	}
}

// printKeyword prints the configuration kinds that the word names, in singular
// or plural, and the fields of other kinds that have the word as their key. It
// reports whether it printed any.
func printKeyword(w io.Writer, word string) bool {
	found := false
	for _, kind := range configreader.Kinds() {
		plural, _, fields := configreader.Describe(kind)
		if strings.EqualFold(word, string(kind)) || strings.EqualFold(word, plural) {
			printKind(w, kind)
			found = true
			continue
		}
		for _, field := range fields {
			if field.Key() == word {
				fmt.Fprintf(w, "key %q of a %s: %s, %s\n", word, kind, field.Type(), field.Help())
				found = true
			}
		}
	}
	return found
}

func printSettings(w io.Writer) {
	fmt.Fprintln(w, "A settings file is one JSON object with comments, for one node:")
	fmt.Fprintf(w, "  %-13s %-14s %s\n", "name", "text", "host's name in the platform's host list; required")
	printFields(w, settingsreader.Fields())
}

func printHeaders(w io.Writer) {
	fmt.Fprint(w, `Headers that callers may send:
  Acacia-Timeout-Ms      milliseconds from arrival to the deadline
  Acacia-Class           urgent, normal or batch
  Acacia-Tenant          name of the tenant
  Idempotency-Key        requests with the same key run at most once (on routes that are not idempotent)
Headers of responses:
  X-Request-Id           id of the request in logs
  Acacia-Config-Version  version of the configuration that served the request
  Acacia-Outcome         answered, streaming, refused or unknown
  Acacia-Replayed        true when the response is the recorded one of an earlier request with the same key
  Retry-After            seconds after which to retry a refused request
`)
}

func printOutcomes(w io.Writer) {
	fmt.Fprint(w, `answered   the complete response follows
streaming  the response follows as events and is complete only if it ends with [DONE]
refused    the request did not run; Retry-After says when to retry it
unknown    the request may have run; retry it only if it is idempotent or has an Idempotency-Key
`)
}

func printExit(w io.Writer) {
	fmt.Fprint(w, `0  success
1  failure; each reason is one line on standard error
2  invalid command line
`)
}
