// Package logreader reads the structured logs of many nodes into one sequence of
// lines, in the order of their times. Lines that are not valid log lines are
// skipped and counted; they never make a read fail.
package logreader

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"
)

// Line is one log line.
type Line struct {
	// Node is the node that wrote the line: the last word before the line's JSON
	// object, or, if there is none, the file's name without its extension.
	Node string
	// At is the field "time", by the node's clock.
	At time.Time
	// Message is the field "message".
	Message string
	// Fields holds all fields of the line's JSON object; numbers are float64.
	Fields map[string]any
}

// Text returns the value of a string field, or "" when it is absent or of another type.
func (l *Line) Text(key string) string {
	text, _ := l.Fields[key].(string)
	return text
}

// Number returns the value of a number field, or 0 when it is absent or of another type.
func (l *Line) Number(key string) float64 {
	number, _ := l.Fields[key].(float64)
	return number
}

// Log holds the lines of all files that were read.
type Log struct {
	lines []Line
	// invalid counts the lines of each file that are not valid log lines.
	invalid map[string]int
}

// Lines returns the valid lines. ReadFiles sorts them by time; Read keeps the
// order of the input.
func (l *Log) Lines() []Line { return l.lines }

// Warnings returns one warning for each file with invalid lines, sorted by file name.
func (l *Log) Warnings() []string {
	var warnings []string
	for name, count := range l.invalid {
		warnings = append(warnings, fmt.Sprintf("%s: %d lines are no log lines", name, count))
	}
	sort.Strings(warnings)
	return warnings
}

// maxLineBytes is the length of the longest valid line, its newline included.
const maxLineBytes = 1 << 20

// ReadFiles reads several log files into one log, sorted by time. It fails when a
// file cannot be opened or read.
func ReadFiles(paths []string) (*Log, error) {
	log := &Log{invalid: map[string]int{}}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("open log file: %w", err)
		}
		err = log.read(path, file)
		_ = file.Close() // The file was only read, so closing it loses no data.
		if err != nil {
			return nil, fmt.Errorf("read log file %s: %w", path, err)
		}
	}
	sort.SliceStable(log.lines, func(i, j int) bool { return log.lines[i].At.Before(log.lines[j].At) })
	return log, nil
}

// Read reads one log. The name is used like a file name: in warnings, and as the
// node of lines that do not name theirs.
func Read(name string, input io.Reader) (*Log, error) {
	log := &Log{invalid: map[string]int{}}
	err := log.read(name, input)
	return log, err
}

func (l *Log) read(name string, input io.Reader) error {
	reader := bufio.NewReader(input)
	for {
		text, err := reader.ReadBytes('\n')
		if len(bytes.TrimSpace(text)) > 0 {
			l.addLine(name, text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// addLine parses one line and adds it, or counts it as invalid.
func (l *Log) addLine(name string, text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 || len(text) > maxLineBytes {
		l.invalid[name]++
		return
	}
	line := Line{Node: strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), Fields: map[string]any{}}
	if words := strings.Fields(string(text[:start])); len(words) > 0 {
		line.Node = words[len(words)-1]
	}
	if err := json.Unmarshal(text[start:], &line.Fields); err != nil {
		l.invalid[name]++
		return
	}
	timestamp, err := time.Parse(time.RFC3339Nano, line.Text("time"))
	if err != nil {
		l.invalid[name]++
		return
	}
	line.At, line.Message = timestamp, line.Text("message")
	l.lines = append(l.lines, line)
}
