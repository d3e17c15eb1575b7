package main

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the store.
type row struct {
	table, part, key, value string
	version                 int64
	deleted                 bool
}

// store is a stand-in of the platform's metadata store: versioned rows, a feed of changes and atomic transactions. Each node reaches
// it through a door of its own, so that it can turn some nodes away and serve the others.
type store struct {
	mu      sync.Mutex
	version int64
	rows    map[string]*row
	changed chan struct{}
	started time.Time
	era     int64 // rises with each return from an older copy
}

// door is the address at which one node reaches the store.
type door struct {
	store   *store
	address string
	mu      sync.Mutex
	mode    string // "" serves; "silent" does not answer; "busy" answers 503
}

const (
	answerTime = 4 * time.Millisecond // one answer of the store
	maxRows    = 500                  // rows of one answer
)

func newStore() *store {
	return &store{rows: map[string]*row{}, changed: make(chan struct{}), started: time.Now()}
}

// open returns a new door.
func (s *store) open() *door {
	d := &door{store: s}
	listener := listen()
	d.address = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: d}).Serve(listener) }()
	return d
}

func listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		void("listen: %v", err)
	}
	return listener
}

func (d *door) set(mode string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.mode = mode
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	mode := d.mode
	d.mu.Unlock()
	switch mode {
	case "silent":
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case "busy":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(answerTime)
	query := r.URL.Query()
	switch r.URL.Path {
	case "/acaciaproxy/rows-get":
		d.store.get(w, query.Get("table"), query.Get("part"), query.Get("from"))
	case "/acaciaproxy/rows-feed":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		d.store.feed(w, r, query.Get("table"), after, time.Duration(wait)*time.Millisecond)
	case "/acaciaproxy/rows-tx":
		d.store.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// put writes a row for the operator or a worker.
func (s *store) put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(&row{table: table, key: key, value: base64.StdEncoding.EncodeToString([]byte(value)), version: s.version})
}

// remove deletes a row for a worker.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(&row{table: table, key: key, version: s.version, deleted: true})
}

// read returns a row's value, decoded; it is empty if there is none.
func (s *store) read(table, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.rows[table+"\x00\x00"+key]
	if found == nil || found.deleted {
		return ""
	}
	text, _ := base64.StdEncoding.DecodeString(found.value)
	return string(text)
}

// set stores a row and wakes the feeds. The caller holds mu.
func (s *store) set(r *row) {
	s.rows[r.table+"\x00"+r.part+"\x00"+r.key] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, rows []*row, more bool, version int64) {
	encoded := []map[string]any{}
	for _, r := range rows {
		entry := map[string]any{"table": r.table, "part": r.part, "key": r.key, "rowVersion": r.version}
		if r.deleted {
			entry["deleted"] = true
		} else {
			entry["value"] = r.value
		}
		encoded = append(encoded, entry)
	}
	text, _ := json.Marshal(map[string]any{"rows": encoded, "hasMore": more, "rowVersion": version, "serverTimeMs": time.Since(s.started).Milliseconds()})
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) get(w http.ResponseWriter, table, part, from string) {
	s.mu.Lock()
	var found []*row
	for _, r := range s.rows {
		if r.table == table && r.part == part && !r.deleted && r.key >= from {
			found = append(found, r)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].key < found[j].key })
	more := len(found) > maxRows
	s.answer(w, http.StatusOK, found[:min(len(found), maxRows)], more, version)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after int64, wait time.Duration) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		var found []*row
		for _, r := range s.rows {
			if r.table == table && r.version > after {
				found = append(found, r)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if after > version {
			s.answer(w, http.StatusGone, nil, false, version)
			return
		}
		sort.Slice(found, func(i, j int) bool { return found[i].version < found[j].version })
		if len(found) > 0 {
			s.answer(w, http.StatusOK, found, false, version)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			s.answer(w, http.StatusOK, nil, false, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	type entry struct {
		Table, Part, Key, Value string
		RowVersion              int64
	}
	var body struct{ Expected, Writes, Remove []entry }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	var current []*row
	failed := false
	for _, check := range body.Expected {
		found := s.rows[check.Table+"\x00"+check.Part+"\x00"+check.Key]
		version := int64(0)
		if found != nil && !found.deleted {
			version = found.version
			current = append(current, found)
		}
		failed = failed || version != check.RowVersion
	}
	for _, change := range append(body.Writes, body.Remove...) {
		if change.Table == "op" || change.Table == "servers" {
			s.mu.Unlock()
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if !failed && len(body.Writes)+len(body.Remove) > 0 {
		s.version++
		for _, change := range body.Writes {
			s.set(&row{table: change.Table, part: change.Part, key: change.Key, value: change.Value, version: s.version})
		}
		for _, change := range body.Remove {
			s.set(&row{table: change.Table, part: change.Part, key: change.Key, version: s.version, deleted: true})
		}
	}
	version := s.version
	s.mu.Unlock()
	if failed {
		s.answer(w, http.StatusPreconditionFailed, current, false, version)
		return
	}
	s.answer(w, http.StatusOK, nil, false, version)
}

// copied is the content of the store at one moment.
type copied struct {
	version int64
	rows    map[string]*row
}

func (s *store) copy() copied {
	s.mu.Lock()
	defer s.mu.Unlock()
	return copied{version: s.version, rows: maps.Clone(s.rows)} // rows are never changed
}

// restore brings a copy back: what was written since is gone, and its versions are given out again.
func (s *store) restore(from copied) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.rows = from.version, maps.Clone(from.rows)
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}
