package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storedRow is one row of the platform's store; a removed row stays as a tombstone for the feed.
type storedRow struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      string `json:"value,omitempty"`
	RowVersion int64  `json:"rowVersion"`
	Deleted    bool   `json:"deleted,omitempty"`
}

// store stands in for the platform's store: rows-tx, rows-get and rows-feed, linearizable, with one counter of versions.
type store struct {
	mu      sync.Mutex
	rows    map[string]storedRow
	version int64
	changed chan struct{}
	start   time.Time
	// feedBegan is called, if set, when a feed call of a table arrives.
	feedBegan func(endpoint, table string)
}

func newStore() *store {
	return &store{rows: map[string]storedRow{}, changed: make(chan struct{}), start: time.Now()}
}

func rowID(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes a row as the operator or a worker does; the return is the acknowledgement.
func (s *store) put(table, key string, value any) int64 {
	text, err := json.Marshal(value)
	if err != nil {
		fail("encode row: %v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowID(table, "", key)] = storedRow{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(text), RowVersion: s.version}
	s.signal()
	return s.version
}

// drop removes a row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowID(table, "", key)] = storedRow{Table: table, Key: key, RowVersion: s.version, Deleted: true}
	s.signal()
}

// get returns the decoded value of a row.
func (s *store) get(table, key string) (value []byte, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, found := s.rows[rowID(table, "", key)]
	if !found || row.Deleted {
		return nil, false
	}
	value, _ = base64.StdEncoding.DecodeString(row.Value)
	return value, true
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["serverTimeMs"] = time.Since(s.start).Milliseconds()
	text, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

// endpoint serves the store at an address of its own. View, if set, replaces rows of the list of workers as this endpoint shows them.
func (s *store) endpoint(name, ip string, view func(storedRow) storedRow) string {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		fail("listen: %v", err)
	}
	show := func(row storedRow) storedRow {
		if view != nil && row.Table == "servers" && !row.Deleted {
			return view(row)
		}
		return row
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /acaciaproxy/rows-tx", s.transact)
	mux.HandleFunc("GET /acaciaproxy/rows-get", func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		s.mu.Lock()
		rows := []storedRow{}
		for _, row := range s.rows {
			if row.Table == query.Get("table") && row.Part == query.Get("part") && !row.Deleted && row.Key >= query.Get("from") && (query.Get("to") == "" || row.Key < query.Get("to")) {
				rows = append(rows, show(row))
			}
		}
		version := s.version
		s.mu.Unlock()
		sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
		limit := 500
		if n, err := strconv.Atoi(query.Get("limit")); err == nil && n > 0 && n < limit {
			limit = n
		}
		more := len(rows) > limit
		if more {
			rows = rows[:limit]
		}
		time.Sleep(4 * time.Millisecond)
		s.answer(w, 200, map[string]any{"rows": rows, "hasMore": more, "rowVersion": version})
	})
	mux.HandleFunc("GET /acaciaproxy/rows-feed", func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
		if s.feedBegan != nil {
			s.feedBegan(name, query.Get("table"))
		}
		timer := time.After(time.Duration(wait) * time.Millisecond)
		for {
			s.mu.Lock()
			rows := []storedRow{}
			for _, row := range s.rows {
				if row.Table == query.Get("table") && row.RowVersion > after {
					rows = append(rows, show(row))
				}
			}
			version, changed := s.version, s.changed
			s.mu.Unlock()
			if len(rows) > 0 {
				sort.Slice(rows, func(i, j int) bool { return rows[i].RowVersion < rows[j].RowVersion })
				time.Sleep(4 * time.Millisecond)
				s.answer(w, 200, map[string]any{"rows": rows, "rowVersion": version})
				return
			}
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			case <-timer:
				s.answer(w, 200, map[string]any{"rows": rows, "rowVersion": version})
				return
			}
		}
	})
	go func() { _ = (&http.Server{Handler: mux}).Serve(listener) }()
	return listener.Addr().String()
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected, Writes, Remove []storedRow
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		s.answer(w, 400, map[string]any{})
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, conflict := []storedRow{}, false
	for _, check := range body.Expected {
		row, found := s.rows[rowID(check.Table, check.Part, check.Key)]
		version := row.RowVersion
		if !found || row.Deleted {
			version = 0
		} else {
			current = append(current, row)
		}
		conflict = conflict || version != check.RowVersion
	}
	for _, row := range append(append([]storedRow{}, body.Writes...), body.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			s.answer(w, 403, map[string]any{})
			return
		}
	}
	if conflict {
		s.answer(w, 412, map[string]any{"rows": current, "rowVersion": s.version})
		return
	}
	s.version++
	for _, row := range body.Writes {
		row.RowVersion, row.Deleted = s.version, false
		s.rows[rowID(row.Table, row.Part, row.Key)] = row
	}
	for _, row := range body.Remove {
		s.rows[rowID(row.Table, row.Part, row.Key)] = storedRow{Table: row.Table, Part: row.Part, Key: row.Key, RowVersion: s.version, Deleted: true}
	}
	s.signal()
	s.answer(w, 200, map[string]any{"rowVersion": s.version})
}

// fail ends the program with status 2: the case could not run.
func fail(format string, arguments ...any) {
	panic(cannotRun(fmt.Sprintf(format, arguments...)))
}

type cannotRun string
