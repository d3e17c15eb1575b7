package crashkeeper

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/phuslu/log"
	"github.com/samber/lo"
)

// Rows are the calls to the table of crashes in the store. Every call returns by its deadline.
type Rows struct {
	// Put writes a row, whatever its version. Create writes rows, by their keys, if none of them exists, else it returns those that do. Delete deletes
	// rows that have the given versions, or none of them.
	Put    func(deadline time.Time, key, value string) error
	Create func(deadline time.Time, values map[string]string) (existing []Row, err error)
	Delete func(deadline time.Time, versions map[string]int64) error
}

// Row is a row of the table of crashes as it was read. The value of a deleted row is empty.
type Row struct {
	Key, Value string
	Version    int64
	Deleted    bool
}

// record is a crash in the value of a row, which is a JSON array of records.
type record struct {
	// Print is the fingerprint, Born the incarnation, Again the repeat, Found the Unix time in milliseconds of FoundAt. Earlier versions of the program do
	// not know Sound, and take such a record for the crash that it is about.
	Print  string `json:"print"`
	Worker string `json:"worker"`
	Born   int64  `json:"born"`
	Again  int    `json:"again,omitempty"`
	Found  int64  `json:"found"`
	Sound  bool   `json:"sound,omitempty"`
}

const (
	// maxRowCrashes bounds the size of a row: at about 120 bytes a crash it is below half of what a row may hold.
	maxRowCrashes = 200
	// writeTimeout bounds a write. After a failed one, the next follows after writePause, which doubles up to maxWritePause.
	writeTimeout  = 700 * time.Millisecond
	writePause    = 250 * time.Millisecond
	maxWritePause = 1 * time.Second
	// rewriteAge is how long a crash has been known when it must be in the store. A missing one is written again: the node that
	// found it has ended before it wrote the crash, or the store has lost the row.
	rewriteAge = 2 * time.Second
)

// encode returns the value of a row with crashes.
func encode(crashes []Crash) (string, error) {
	records := lo.Map(crashes, func(crash Crash, _ int) record {
		return record{Print: crash.Fingerprint, Worker: crash.Worker, Born: crash.Incarnation, Again: crash.Repeat, Found: crash.FoundAt.UnixMilli(), Sound: crash.Sound}
	})
	encoded, err := json.Marshal(records)
	return string(encoded), err
}

// decode returns the crashes in the value of a row.
func decode(value string) ([]Crash, error) {
	var records []record
	if err := json.Unmarshal([]byte(value), &records); err != nil {
		return nil, fmt.Errorf("decode row of crashes: %w", err)
	}
	return lo.Map(records, func(r record, _ int) Crash {
		return Crash{Fingerprint: r.Print, Worker: r.Worker, Incarnation: r.Born, Repeat: r.Again, FoundAt: time.UnixMilli(r.Found), Sound: r.Sound}
	}), nil
}

// ApplyRows learns the crashes of rows that were read from the store. With whole set, these are all rows; then the crashes
// that are missing from them are written again, and rows without a crash that counts are deleted.
func (k *Keeper) ApplyRows(now time.Time, rows []Row, whole bool) {
	var stored []Crash
	expired := map[string]int64{}
	for _, row := range rows {
		if row.Deleted {
			continue
		}
		crashes, err := decode(row.Value)
		if err != nil {
			log.Warn().Str("key", row.Key).Err(err).Msg("row of crashes ignored")
			continue
		}
		if allExpired(now, crashes) {
			expired[row.Key] = row.Version
		}
		for _, crash := range crashes {
			k.Learn(now, crash, "store")
		}
		stored = append(stored, crashes...)
	}
	if whole {
		k.writeMissing(now, stored, expired)
	}
}

func allExpired(now time.Time, crashes []Crash) bool {
	return lo.EveryBy(crashes, func(crash Crash) bool { return crash.expired(now) })
}

// NotifyRestored is called when the store has come back from an older copy: crashes that it had confirmed may be missing, however young.
func (k *Keeper) NotifyRestored() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.storeRestored = true
}

// writeMissing has the crashes written that are known for rewriteAge, or for any time after the store's return from an older copy, and not
// among those in the store, and expired rows deleted.
func (k *Keeper) writeMissing(now time.Time, stored []Crash, expired map[string]int64) {
	inStore := lo.GroupBy(stored, func(crash Crash) string { return crash.Fingerprint })
	isIn := func(crashes []Crash, crash *Crash) bool {
		return lo.SomeBy(crashes, func(other Crash) bool { return other.covers(crash) })
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	missing, restored := 0, k.storeRestored
	k.storeRestored = false
	for i := range k.entries {
		known := &k.entries[i]
		if !restored && now.Sub(known.learnedAt) < rewriteAge || known.crash.expired(now) || isIn(inStore[known.crash.Fingerprint], &known.crash) || isIn(k.unwritten, &known.crash) {
			continue
		}
		k.unwritten = append(k.unwritten, known.crash)
		missing++
	}
	k.expiredRows = expired
	if missing > 0 {
		log.Info().Int("crashes", missing).Int("known", len(k.entries)).Msg("crashes missing from the store are written again")
	}
	k.wakeWriter()
}

// writeUntilStopped writes new crashes to the store and deletes expired rows until Stop.
func (k *Keeper) writeUntilStopped() {
	pause, failing := writePause, false
	for {
		err := k.writeNext()
		if failing != (err != nil) {
			failing = err != nil
			log.Warn().Str("dependency", "store").Bool("failing", failing).Err(err).Msg("writes of crashes to the store fail or succeed again")
		}
		if err != nil {
			select {
			case <-k.stopped:
				return
			case <-time.After(pause):
			}
			pause = min(2*pause, maxWritePause)
			continue
		}
		pause = writePause
		select {
		case <-k.stopped:
			return
		case <-k.wake:
		}
	}
}

// writeNext writes all unwritten crashes and deletes the expired rows. Crashes stay unwritten until the store has confirmed them.
func (k *Keeper) writeNext() error {
	for {
		k.mu.Lock()
		batch := append([]Crash(nil), k.unwritten[:min(len(k.unwritten), maxRowCrashes)]...)
		key := fmt.Sprintf("%s-%d", k.name, k.attemptedRows)
		k.attemptedRows++ // An attempt without a response may be done later, so no key is used twice.
		expired := k.expiredRows
		k.expiredRows = map[string]int64{}
		k.mu.Unlock()
		if len(expired) > 0 {
			if err := k.rows.Delete(time.Now().Add(writeTimeout), expired); err != nil {
				log.Warn().Int("rows", len(expired)).Err(err).Msg("expired crashes not deleted; the next read of all rows finds them again")
			}
		}
		if len(batch) == 0 {
			return nil
		}
		value, err := encode(batch)
		if err != nil {
			return err
		}
		if err := k.rows.Put(time.Now().Add(writeTimeout), key, value); err != nil {
			k.count("crash writes failed")
			return err
		}
		k.mu.Lock()
		k.unwritten = k.unwritten[len(batch):]
		k.mu.Unlock()
	}
}
