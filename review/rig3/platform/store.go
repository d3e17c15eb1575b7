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

// storeRow is one row of the platform's store, or its removal.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version int64  `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]storeRow
	log     []storeRow
	version int64
	changed chan struct{}
	began   time.Time
	era     int64
	copies  []storeCopy
	// written holds when each worker wrote its entry last, or when the store came back; silence removes it.
	written map[string]time.Time
}

// storeCopy is what the store held at a time.
type storeCopy struct {
	at      time.Time
	rows    map[rowID]storeRow
	version int64
}

// keepCopies makes a copy of the store twice a second.
func (s *store) keepCopies() {
	for {
		s.mu.Lock()
		s.copies = append(s.copies, storeCopy{time.Now(), maps.Clone(s.rows), s.version})
		s.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// restore brings back a copy of some age; the operator writes its newest configuration again, workers write by themselves.
func (s *store) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	best := s.copies[0]
	for _, c := range s.copies {
		if time.Since(c.at) >= age {
			best = c
		}
	}
	newest := s.rows[rowID{"op", "", "config"}]
	s.rows, s.version, s.log = maps.Clone(best.rows), best.version, nil
	for _, row := range s.rows {
		s.log = append(s.log, row)
	}
	sort.Slice(s.log, func(i, j int) bool { return s.log[i].Version < s.log[j].Version })
	s.era++
	s.copies = nil
	s.copies = append(s.copies, storeCopy{time.Now(), maps.Clone(s.rows), s.version})
	s.version++
	newest.Version = s.version
	s.set(newest)
	for id := range s.rows {
		if id.table == "servers" {
			s.written[id.key] = time.Now()
		}
	}
	s.notify()
}

func newStore() *store {
	return &store{rows: map[rowID]storeRow{}, changed: make(chan struct{}), began: time.Now(), written: map[string]time.Time{}}
}

// put writes a row as the operator or a worker does, and returns when the store has acknowledged it.
func (s *store) put(table, key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(storeRow{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(encoded), Version: s.version})
	if table == "servers" {
		s.written[key] = time.Now()
	}
	s.notify()
	return time.Now()
}

// silence is the time after which the store removes the entry of a worker that writes nothing: three heartbeats.
const silence = 3600 * time.Millisecond

// removeSilent removes the entries of workers that write nothing any more, and calls removed for each.
func (s *store) removeSilent(removed func(id string, at time.Time)) {
	for ; ; time.Sleep(20 * time.Millisecond) {
		s.mu.Lock()
		var gone []string
		for id := range s.rows {
			if id.table == "servers" && time.Since(s.written[id.key]) > silence {
				gone = append(gone, id.key)
			}
		}
		s.mu.Unlock()
		for _, id := range gone {
			s.remove("servers", id)
			removed(id, time.Now())
		}
	}
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(storeRow{Table: table, Key: key, Version: s.version, Deleted: true})
	s.notify()
}

func (s *store) set(row storeRow) {
	id := rowID{row.Table, row.Part, row.Key}
	s.log = append(s.log, row)
	if row.Deleted {
		delete(s.rows, id)
		return
	}
	s.rows[id] = row
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// door is the way of one machine to the store. A closed door is a partition: what arrives gets no answer until it opens again.
type door struct {
	store    *store
	listener net.Listener
	mu       sync.Mutex
	open     chan struct{} // Closed while the door is open.
	isOpen   bool
}

func (s *store) newDoor() *door {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	d := &door{store: s, listener: listener, open: make(chan struct{}), isOpen: true}
	close(d.open)
	go func() { _ = http.Serve(listener, d) }()
	return d
}

func (d *door) address() string { return d.listener.Addr().String() }

// cut closes the door, heal opens it.
func (d *door) cut() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isOpen {
		d.isOpen, d.open = false, make(chan struct{})
	}
}

func (d *door) heal() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.isOpen {
		d.isOpen = true
		close(d.open)
	}
}

// pass waits until the door is open and reports whether the caller is still there.
func (d *door) pass(r *http.Request) bool {
	d.mu.Lock()
	open := d.open
	d.mu.Unlock()
	select {
	case <-open:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !d.pass(r) {
		panic(http.ErrAbortHandler)
	}
	var answer any
	status := http.StatusOK
	switch r.URL.Path {
	case "/acaciaproxy/rows-get":
		answer = d.store.get(r)
	case "/acaciaproxy/rows-feed":
		var known bool
		if answer, known = d.store.feed(r); !known {
			status = http.StatusGone
		}
	case "/acaciaproxy/rows-tx":
		answer, status = d.store.transact(r)
	default:
		http.NotFound(w, r)
		return
	}
	d.store.mu.Lock()
	era := d.store.era
	d.store.mu.Unlock()
	time.Sleep(4 * time.Millisecond)
	if !d.pass(r) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

type rowsAnswer struct {
	Rows         []storeRow `json:"rows"`
	HasMore      bool       `json:"hasMore"`
	Version      int64      `json:"rowVersion"`
	ServerTimeMS int64      `json:"serverTimeMs"`
}

func (s *store) answer(rows []storeRow) rowsAnswer {
	if rows == nil {
		rows = []storeRow{}
	}
	return rowsAnswer{Rows: rows, Version: s.version, ServerTimeMS: time.Since(s.began).Milliseconds()}
}

func (s *store) get(r *http.Request) rowsAnswer {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storeRow
	for id, row := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return s.answer(rows)
}

func (s *store) feed(r *http.Request) (answer rowsAnswer, known bool) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	must(err)
	waitMS, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		if after > s.version {
			s.mu.Unlock()
			return rowsAnswer{}, false
		}
		var rows []storeRow
		for _, row := range s.log {
			if row.Table == q.Get("table") && row.Version > after {
				rows = append(rows, row)
			}
		}
		answer, changed := s.answer(rows), s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			return answer, true
		}
		select {
		case <-changed:
		case <-deadline:
			return answer, true
		case <-r.Context().Done():
			return answer, true
		}
	}
}

func (s *store) transact(r *http.Request) (any, int) {
	var body struct{ Expected, Writes, Remove []storeRow }
	must(json.NewDecoder(r.Body).Decode(&body))
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	var current []storeRow
	for _, want := range append(body.Expected, body.Remove...) {
		row, found := s.rows[rowID{want.Table, want.Part, want.Key}]
		if found {
			current = append(current, row)
		}
		if want.Version != row.Version {
			conflict = true
		}
	}
	if conflict {
		return s.answer(current), http.StatusPreconditionFailed
	}
	s.version++
	for _, row := range body.Writes {
		row.Version = s.version
		s.set(row)
	}
	for _, row := range body.Remove {
		s.set(storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Version: s.version, Deleted: true})
	}
	s.notify()
	return s.answer(nil), http.StatusOK
}
