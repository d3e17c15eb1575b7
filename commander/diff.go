package commander

import (
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/acaciaproxy/acaciaproxy/configurer"
	"github.com/acaciaproxy/acaciaproxy/follower"
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

// platformTime bounds what an operator's command does at the platform.
const platformTime = 15 * time.Second

func platformFlag(flags *flag.FlagSet) *string {
	return flags.String("platform", "", "`address` of the platform, IP and port")
}

func prepareDiff(flags *flag.FlagSet) func([]string, streams) int {
	address := platformFlag(flags)
	return func(arguments []string, s streams) int {
		if *address == "" || len(arguments) != 1 {
			return verbDiff().usageError(s, "-platform ADDRESS and one folder are needed")
		}
		target, err := configurer.ReadFolder(arguments[0])
		if err != nil {
			return refuseFaults(verbDiff(), s, err)
		}
		current, err := loadHead(*address)
		if err != nil {
			return verbDiff().refuse(s, err)
		}
		edits := configurer.Diff(current.Configuration(), target)
		printEdits(s.out, current.Configuration(), edits)
		writeLine(s.out, fmt.Sprintf("%d objects differ from version %d", len(edits), current.Version()))
		return ExitDone
	}
}

// loadHead returns the version in force by the platform's head row.
func loadHead(address string) (*follower.Pinned, error) {
	platform := platformclient.NewHTTP(address, "")
	deadline := time.Now().Add(platformTime)
	head, _, err := follower.ReadHead(deadline, platform)
	if err != nil {
		return nil, err
	}
	return publisher.Load(platform, head.Version, deadline)
}

func printEdits(w io.Writer, before *configurer.Configuration, edits []configurer.Edit) {
	known := map[string]bool{}
	if before != nil {
		for _, object := range before.Objects() {
			known[object.ID()] = true
		}
	}
	for _, edit := range edits {
		sign := "~"
		if edit.Body == "" {
			sign = "-"
		} else if !known[edit.ID()] {
			sign = "+"
		}
		writeLine(w, sign+" "+edit.ID())
	}
}
