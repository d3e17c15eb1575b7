package server

import (
	"os"
	"testing"

	"github.com/phuslu/log"
)

// TestMain hides log lines below the error level, unless ACACIA_TEST_LOG is set.
func TestMain(m *testing.M) {
	if os.Getenv("ACACIA_TEST_LOG") == "" {
		log.DefaultLogger.SetLevel(log.ErrorLevel)
	}
	os.Exit(m.Run())
}
