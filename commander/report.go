package commander

import (
	"flag"
	"fmt"
	"os"

	"github.com/acaciaproxy/acaciaproxy/logreader"
	"github.com/acaciaproxy/acaciaproxy/reporter"
)

func verbReport() verb {
	return verb{
		name:      "report",
		summary:   "Summarizes the logs of many nodes.",
		arguments: "FILE...",
		details:   "Counts requests by how they ended, loads by tier and leases taken by zone, and lists the slowest requests.",
		prepare:   prepareReport,
	}
}

func prepareReport(flags *flag.FlagSet) func([]string, streams) int {
	page := flags.String("page", "", "`file` for an HTML page of bar charts, which needs no network")
	return func(arguments []string, s streams) int {
		if len(arguments) == 0 {
			return verbReport().usageError(s, "at least one log file is needed")
		}
		log, err := logreader.ReadFiles(arguments)
		if err != nil {
			return verbReport().fail(s, err)
		}
		report := reporter.Summarize(log)
		report.Print(s.stdout)
		if *page == "" {
			return ExitSuccess
		}
		if err := writePage(*page, report); err != nil {
			return verbReport().fail(s, err)
		}
		return ExitSuccess
	}
}

func writePage(path string, report *reporter.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("create report page: %w", err)
	}
	if err := report.WritePage(file); err != nil {
		_ = file.Close() // The page is incomplete; the rendering error is the one to return.
		return err
	}
	return file.Close()
}
