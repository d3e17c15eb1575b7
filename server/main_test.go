package server

import (
	"os"
	"testing"

	"github.com/phuslu/log"
)

// TestMain keeps the nodes' log lines out of the tests' output.
func TestMain(m *testing.M) {
	if os.Getenv("ACACIA_TEST_LOG") == "" {
		log.DefaultLogger.SetLevel(log.ErrorLevel)
	}
	os.Exit(m.Run())
}
