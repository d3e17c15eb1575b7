package commander

import (
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/acaciaproxy/acaciaproxy/configfollower"
	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
	"github.com/acaciaproxy/acaciaproxy/publisher"
)

func verbDiff() verb {
	return verb{
		name:      "diff",
		summary:   "Shows what publishing a folder would change in the version in force.",
		arguments: "-platform ADDRESS FOLDER",
		details:   "Each line is one object: + added, - removed, ~ changed.",
		prepare:   prepareDiff,
	}
}

// platformTimeout bounds all calls of one verb to the platform.
const platformTimeout = 15 * time.Second

func platformFlag(flags *flag.FlagSet) *string {
	return flags.String("platform", "", "`address` of the platform, IP and port")
}

func prepareDiff(flags *flag.FlagSet) func([]string, streams) int {
	address := platformFlag(flags)
	return func(arguments []string, s streams) int {
		if *address == "" || len(arguments) != 1 {
			return verbDiff().usageError(s, "-platform ADDRESS and one folder are needed")
		}
		target, err := configreader.ReadFolder(arguments[0])
		if err != nil {
			return failWithFaults(verbDiff(), s, err)
		}
		current, err := loadHead(*address)
		if err != nil {
			return verbDiff().fail(s, err)
		}
		edits := configreader.Diff(current.Configuration(), target)
		printEdits(s.stdout, current.Configuration(), edits)
		writeLine(s.stdout, fmt.Sprintf("%d objects differ from version %d", len(edits), current.Version()))
		return ExitSuccess
	}
}

// loadHead returns the configuration in force: the version that the platform's head row names.
func loadHead(address string) (*configfollower.VersionedConfiguration, error) {
	platform := platformclient.NewHTTP(address, "")
	deadline := time.Now().Add(platformTimeout)
	head, _, err := configfollower.ReadHead(deadline, platform)
	if err != nil {
		return nil, err
	}
	return publisher.Load(platform, head.Version, deadline)
}

// printEdits prints one line for each edit. Base is the configuration that the
// edits apply to, nil when none is published.
func printEdits(w io.Writer, base *configreader.Configuration, edits []configreader.Edit) {
	existing := map[string]bool{}
	if base != nil {
		for _, object := range base.Objects() {
			existing[object.ID()] = true
		}
	}
	for _, edit := range edits {
		sign := "~"
		if edit.Body == "" {
			sign = "-"
		} else if !existing[edit.ID()] {
			sign = "+"
		}
		writeLine(w, sign+" "+edit.ID())
	}
}
