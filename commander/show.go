package commander

import (
	"flag"
	"fmt"
	"strings"

	"github.com/acaciaproxy/acaciaproxy/configreader"
)

func verbShow() verb {
	return verb{
		name:      "show",
		summary:   "Prints the objects of a folder, or of the version in force.",
		arguments: "[-platform ADDRESS | FOLDER] [KIND [NAME]]",
		details:   "Each line is kind, name and body. With -platform the version in force is shown, else the folder.",
		prepare:   prepareShow,
	}
}

func prepareShow(flags *flag.FlagSet) func([]string, streams) int {
	address := platformFlag(flags)
	return func(arguments []string, s streams) int {
		configuration, selection, code := loadSource(*address, arguments, s)
		if configuration == nil {
			return code
		}
		return show(configuration, selection, s)
	}
}

// loadSource returns the configuration to show and the arguments that select
// objects. After a failure it has printed the error, and returns a nil
// configuration and the exit code.
func loadSource(address string, arguments []string, s streams) (*configreader.Configuration, []string, int) {
	if address != "" {
		versioned, err := loadHead(address)
		if err != nil {
			return nil, nil, verbShow().fail(s, err)
		}
		if versioned.Configuration() == nil {
			return nil, nil, verbShow().fail(s, fmt.Errorf("no configuration is published at %s", address))
		}
		return versioned.Configuration(), arguments, ExitSuccess
	}
	if len(arguments) == 0 {
		return nil, nil, verbShow().usageError(s, "a folder or -platform ADDRESS is needed")
	}
	configuration, err := configreader.ReadFolder(arguments[0])
	if err != nil {
		return nil, nil, failWithFaults(verbShow(), s, err)
	}
	return configuration, arguments[1:], ExitSuccess
}

// show prints the objects that match the selection: nothing for all objects, a
// kind, or a kind and a name.
func show(configuration *configreader.Configuration, selection []string, s streams) int {
	if len(selection) > 2 {
		return verbShow().usageError(s, "at most a kind and a name select objects; got %q", strings.Join(selection, " "))
	}
	shown := 0
	for _, object := range configuration.Objects() {
		if len(selection) > 0 && string(object.Kind()) != selection[0] || len(selection) > 1 && object.Name() != selection[1] {
			continue
		}
		writeLine(s.stdout, object.ID()+" "+object.Body())
		shown++
	}
	if shown == 0 {
		return verbShow().fail(s, fmt.Errorf("no object matches %q", strings.Join(selection, " ")))
	}
	return ExitSuccess
}
