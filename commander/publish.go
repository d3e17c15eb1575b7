package commander

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/acaciaproxy/acaciaproxy/configfollower"
	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
	"github.com/acaciaproxy/acaciaproxy/publisher"
)

func verbPublish() verb {
	return verb{
		name:      "publish",
		summary:   "Checks a folder as a whole and puts it in force.",
		arguments: "-platform ADDRESS [-base VERSION] FOLDER",
		details: "Publishes the folder's differences from the base version. Changes that other operators have published\n" +
			"since the base version are kept if they are to other objects; the result is checked again as a whole.\n" +
			"If they are to the same objects, the publish is refused with the objects and the other operator's version.",
		prepare: preparePublish,
	}
}

func preparePublish(flags *flag.FlagSet) func([]string, streams) int {
	address := platformFlag(flags)
	base := flags.Int64("base", -1, "`version` that the folder is based on; -1 stands for the version in force")
	operator := flags.String("operator", os.Getenv("USER"), "`name` of the operator who publishes")
	id := flags.String("id", "", "`id` of the publish; pass the same id again to retry a publish whose result is unknown")
	return func(arguments []string, s streams) int {
		if *address == "" || len(arguments) != 1 {
			return verbPublish().usageError(s, "-platform ADDRESS and one folder are needed")
		}
		target, err := configreader.ReadFolder(arguments[0])
		if err != nil {
			return failWithFaults(verbPublish(), s, err)
		}
		request := publisher.Request{ID: *id, Operator: *operator, Base: *base, Target: target}
		return publish(platformclient.NewHTTP(*address, ""), request, s)
	}
}

// publish publishes the request's folder. An empty ID is replaced by a new
// unique one, a negative base by the version in force.
func publish(platform *platformclient.Platform, request publisher.Request, s streams) int {
	deadline := time.Now().Add(platformTimeout)
	if request.ID == "" {
		request.ID = strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.Itoa(os.Getpid())
	}
	if request.Base < 0 {
		head, _, err := configfollower.ReadHead(deadline, platform)
		if err != nil {
			return verbPublish().fail(s, err)
		}
		request.Base = head.Version
	}
	result, err := publisher.Publish(platform, request, deadline)
	if err != nil {
		return failWithFaults(verbPublish(), s, err)
	}
	note := ""
	if result.Rebased {
		note = ", rebased over other operators' changes"
	}
	writeLine(s.stdout, fmt.Sprintf("version %d in force: %d objects changed%s", result.Version, len(result.Edits), note))
	return ExitSuccess
}
