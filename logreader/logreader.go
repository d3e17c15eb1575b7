// Package logreader reads the structured logs of many nodes for the verbs that
// explain what happened. Lines that are no log lines are counted, never fatal.
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
	// Node is where it was written: the word before the line, or else the file's name.
	Node string
	// At is the node's time of day.
	At time.Time
	// Message says what happened.
	Message string
	// Fields are all fields of the line, numbers as float64.
	Fields map[string]any
}

// Text returns a text field, or "".
func (l *Line) Text(key string) string {
	text, _ := l.Fields[key].(string)
	return text
}

// Number returns a number field, or 0.
func (l *Line) Number(key string) float64 {
	number, _ := l.Fields[key].(float64)
	return number
}

// Log holds the lines of all files in the order of their times.
type Log struct {
	lines []Line
	// bad maps file names to the lines that could not be read.
	bad map[string]int
}

// Lines returns the lines in the order of their times.
func (l *Log) Lines() []Line { return l.lines }

// Bad returns one sentence for each file with lines that could not be read.
func (l *Log) Bad() []string {
	var sentences []string
	for name, count := range l.bad {
		sentences = append(sentences, fmt.Sprintf("%s: %d lines are no log lines", name, count))
	}
	sort.Strings(sentences)
	return sentences
}

// maxLineBytes bounds one line; longer ones count as bad.
const maxLineBytes = 1 << 20

// ReadFiles reads the logs of nodes, one file or more.
func ReadFiles(paths []string) (*Log, error) {
	found := &Log{bad: map[string]int{}}
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("log file: %w", err)
		}
		err = found.read(path, file)
		_ = file.Close() // Only read.
		if err != nil {
			return nil, fmt.Errorf("log file %s: %w", path, err)
		}
	}
	sort.SliceStable(found.lines, func(i, j int) bool { return found.lines[i].At.Before(found.lines[j].At) })
	return found, nil
}

// Read reads the log of one node.
func Read(name string, from io.Reader) (*Log, error) {
	found := &Log{bad: map[string]int{}}
	err := found.read(name, from)
	return found, err
}

func (l *Log) read(name string, from io.Reader) error {
	reader := bufio.NewReader(from)
	for {
		text, err := reader.ReadBytes('\n')
		if len(bytes.TrimSpace(text)) > 0 {
			l.take(name, text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// take parses one line. What stands before its object may name the node.
func (l *Log) take(name string, text []byte) {
	at := bytes.IndexByte(text, '{')
	if at < 0 || len(text) > maxLineBytes {
		l.bad[name]++
		return
	}
	line := Line{Node: strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), Fields: map[string]any{}}
	if words := strings.Fields(string(text[:at])); len(words) > 0 {
		line.Node = words[len(words)-1]
	}
	if err := json.Unmarshal(text[at:], &line.Fields); err != nil {
		l.bad[name]++
		return
	}
	written, err := time.Parse(time.RFC3339Nano, line.Text("time"))
	if err != nil {
		l.bad[name]++
		return
	}
	line.At, line.Message = written, line.Text("message")
	l.lines = append(l.lines, line)
}
