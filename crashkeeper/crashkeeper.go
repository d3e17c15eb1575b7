// Package crashkeeper keeps the crashes of workers at which requests were running,
// so that every node refuses a request that crashes workers, or one that shares a
// prompt part with others that do. A crash that one node finds is sent to the
// leaders of all zones and written to the store; both pass it on to the other
// nodes, so that it outlives the process that found it. So does the news that a
// request which shares the part was answered, which ends the suspicion.
package crashkeeper

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/logger"
)

const (
	// Lifetime is how long a crash counts against the requests that were running.
	Lifetime = 10 * time.Minute
	// renewalAge is the age from which on the crashes that a request is refused for are dated anew, so that they count as long as it comes.
	renewalAge = Lifetime / 2
	// maxKeptCrashes bounds the memory; the oldest crashes are dropped first.
	maxKeptCrashes = 10_000
)

// Crash is the crash of a worker while a request with a fingerprint was running there, or the news that this fingerprint was not its cause.
type Crash struct {
	// Fingerprint identifies the request's content or a part of its prompt.
	Fingerprint string
	// Worker is the ID of the worker, Incarnation identifies the start of the process that crashed.
	Worker      string
	Incarnation int64
	// Repeat is 0 for the first crash that was found under this incarnation. A worker that has restarted is listed under its previous incarnation
	// for some time; further crashes in that time get 1, 2 and so on.
	Repeat int
	// FoundAt is when a node found the crash, or renewed it, by the time of day of that node.
	FoundAt time.Time
	// Sound is set if a request with the fingerprint was answered after the crash was known.
	Sound bool
}

// process identifies the start of a worker's process.
type process struct {
	worker      string
	incarnation int64
}

// event identifies a crash, whatever was running at the worker. Repeat is as in Crash.
type event struct {
	process
	repeat int
}

func (c *Crash) event() event {
	return event{process: process{worker: c.Worker, incarnation: c.Incarnation}, repeat: c.Repeat}
}

// crash returns the finding that the event came while a request with the fingerprint was running.
func (e event) crash(fingerprint string, foundAt time.Time) Crash {
	return Crash{Fingerprint: fingerprint, Worker: e.worker, Incarnation: e.incarnation, Repeat: e.repeat, FoundAt: foundAt}
}

// covers reports whether a finding says what another one does, and is not much older.
func (c *Crash) covers(other *Crash) bool {
	return c.Fingerprint == other.Fingerprint && c.event() == other.event() && c.Sound == other.Sound && other.FoundAt.Sub(c.FoundAt) < renewalAge
}

// expired reports whether the crash counts no more.
func (c *Crash) expired(now time.Time) bool { return now.Sub(c.FoundAt) > Lifetime }

// entry is a crash that this node knows.
type entry struct {
	crash Crash
	// own is set if this node found the crash or saw the answer.
	own bool
	// learnedAt is when this node learned of the crash.
	learnedAt time.Time
}

// Keeper holds the crashes that one node knows. It is safe for concurrent use.
type Keeper struct {
	// rows are the calls to the store.
	rows Rows
	// name begins the keys of the rows that this process writes; no other process uses it.
	name string
	// onNew is called after each new crash, as OnNew set it.
	onNew func()
	// count increases a counter.
	count func(name string)
	// mu guards everything below.
	mu sync.Mutex
	// entries holds what is known in the order in which this node learned of it. The first has the number firstNumber, and the numbers
	// increase by one.
	entries     []entry
	firstNumber int64
	// suspects holds the crashes by fingerprint, byEvent the fingerprints by crash; no element of either is empty.
	suspects map[string]suspect
	byEvent  map[event]map[string]bool
	// crashTimes holds when this node learned of each crash of a process; no element is empty.
	crashTimes map[process][]time.Time
	// answered are the fingerprints of requests that were answered lately.
	answered recentAnswers
	// companions holds, by the fingerprints in suspects, those that all requests with them had which came since.
	companions map[string][]string
	// unwritten are crashes to be written to the store, expiredRows the keys and versions of rows to be deleted from it.
	unwritten   []Crash
	expiredRows map[string]int64
	// storeRestored is set from the store's return from an older copy to the next read of the whole table.
	storeRestored bool
	// attemptedRows counts the rows that this process has tried to write.
	attemptedRows int
	// wake holds a value if there may be something to write.
	wake chan struct{}
	// stopped is closed by Stop.
	stopped chan struct{}
}

// New returns a keeper that knows no crashes and writes nothing before Run. The fields of Keeper of the same names describe
// its parameters.
func New(name string, rows Rows, count func(name string)) *Keeper {
	return &Keeper{
		rows: rows, name: name, onNew: func() {}, count: count, suspects: map[string]suspect{}, byEvent: map[event]map[string]bool{},
		crashTimes: map[process][]time.Time{}, answered: newRecentAnswers(), companions: map[string][]string{}, expiredRows: map[string]int64{},
		wake: make(chan struct{}, 1), stopped: make(chan struct{}),
	}
}

// OnNew sets a function that is called after each new crash and must not block. It must be called before Run.
func (k *Keeper) OnNew(onNew func()) { k.onNew = onNew }

// Report records a crash that this node found at a send that began at sentAt, against each fingerprint of the request, and has it written to
// the store. It sets Repeat: a send that began after this node knew of a crash of the worker's process has met another one. It returns
// whether any of it is new, and how many crashes of the fingerprint with the most are known now.
func (k *Keeper) Report(now time.Time, crash Crash, fingerprints []string, sentAt time.Time) (isNew bool, crashes int) {
	k.mu.Lock()
	crash.Repeat = lo.CountBy(k.crashTimes[crash.event().process], func(learnedAt time.Time) bool { return learnedAt.Before(sentAt) })
	for _, fingerprint := range fingerprints {
		crash.Fingerprint = fingerprint
		if k.add(now, crash, true) {
			isNew = true
			k.write(crash)
		}
		k.noteCompanions(fingerprint, fingerprints)
		crashes = max(crashes, len(k.suspects[fingerprint].live(now)))
	}
	k.mu.Unlock()
	if isNew {
		k.count("crashes found")
		k.announce()
	}
	return isNew, crashes
}

// Arrived records that a request with these fingerprints came.
func (k *Keeper) Arrived(fingerprints []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, fingerprint := range fingerprints {
		if _, suspected := k.suspects[fingerprint]; suspected {
			k.noteCompanions(fingerprint, fingerprints)
		}
	}
}

// noteCompanions records the fingerprints of a request with a fingerprint. The caller holds mu.
func (k *Keeper) noteCompanions(fingerprint string, fingerprints []string) {
	if known, found := k.companions[fingerprint]; found {
		fingerprints = lo.Intersect(known, fingerprints)
	}
	k.companions[fingerprint] = fingerprints
}

// Began records that a worker began to answer a request with these fingerprints. That speaks for them at this node, but ends no suspicion.
func (k *Keeper) Began(now time.Time, fingerprints []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, fingerprint := range fingerprints {
		k.answered.add(now, fingerprint)
	}
}

// Answered records that a worker answered a request with these fingerprints: they are not the cause of the crashes that are known. Request is the ID of the
// caller's attempt.
func (k *Keeper) Answered(now time.Time, request string, fingerprints []string) {
	k.mu.Lock()
	cleared := 0
	for _, fingerprint := range fingerprints {
		k.answered.add(now, fingerprint)
		for crashed, state := range k.suspects[fingerprint] {
			if state.sound || state.expired(now) {
				continue
			}
			news := crashed.crash(fingerprint, state.foundAt)
			news.Sound = true
			k.add(now, news, true)
			k.write(news)
			cleared++
			logger.Info("suspicion ended").Str("request", request).Str("fingerprint", fingerprint).Str("worker", crashed.worker).Int64("born", crashed.incarnation).
				Int64("age_ms", now.Sub(state.foundAt).Milliseconds()).Msg("suspicion ended")
		}
	}
	k.mu.Unlock()
	if cleared > 0 {
		k.count("suspicions ended")
		k.announce()
	}
}

// Learn records a crash that another node found; source says from where this node has it.
func (k *Keeper) Learn(now time.Time, crash Crash, source string) {
	k.mu.Lock()
	isNew := k.add(now, crash, false)
	crashes := len(k.suspects[crash.Fingerprint].live(now))
	k.mu.Unlock()
	if !isNew {
		return
	}
	k.count("crashes learned")
	logger.Info("crash learned").Str("fingerprint", crash.Fingerprint).Str("worker", crash.Worker).Int64("born", crash.Incarnation).Bool("sound", crash.Sound).Str("source", source).
		Int64("age_ms", now.Sub(crash.FoundAt).Milliseconds()).Int("crashes", crashes).Msg("crash learned")
	k.onNew()
}

// CrashedSince reports whether a crash of a worker's process is known that this node learned of since a time.
func (k *Keeper) CrashedSince(since time.Time, worker string, incarnation int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return lo.SomeBy(k.crashTimes[process{worker: worker, incarnation: incarnation}], func(learnedAt time.Time) bool { return learnedAt.After(since) })
}

// Since returns the crashes that count with numbers from first on, and the number from which to continue. With ownOnly set, it
// returns only those that this node found.
func (k *Keeper) Since(now time.Time, first int64, ownOnly bool) (crashes []Crash, next int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := max(first-k.firstNumber, 0); i < int64(len(k.entries)); i++ {
		if known := &k.entries[i]; (known.own || !ownOnly) && !known.crash.expired(now) {
			crashes = append(crashes, known.crash)
		}
	}
	return crashes, k.firstNumber + int64(len(k.entries))
}

// add records a crash and reports whether it is new and counts. A known one is new if it has been renewed. The caller holds mu.
func (k *Keeper) add(now time.Time, crash Crash, own bool) bool {
	if crash.FoundAt.IsZero() || crash.FoundAt.After(now) {
		crash.FoundAt = now // The finder's clock is ahead, or it sent no time.
	}
	crashed := crash.event()
	known, found := k.suspects[crash.Fingerprint][crashed]
	crash.Sound = crash.Sound || known.sound // A node that has not heard of the answer may have dated the crash anew.
	if crash.expired(now) || found && (known.sound || !crash.Sound) && crash.FoundAt.Sub(known.foundAt) < renewalAge {
		return false
	}
	k.dropOld(now)
	k.entries = append(k.entries, entry{crash: crash, own: own, learnedAt: now})
	if k.suspects[crash.Fingerprint] == nil {
		k.suspects[crash.Fingerprint] = suspect{}
	}
	if !found {
		known.learnedAt = now
	}
	known.sound, known.foundAt = known.sound || crash.Sound, crash.FoundAt
	k.suspects[crash.Fingerprint][crashed] = known
	if k.byEvent[crashed] == nil {
		k.byEvent[crashed] = map[string]bool{}
		k.crashTimes[crashed.process] = append(k.crashTimes[crashed.process], now)
	}
	k.byEvent[crashed][crash.Fingerprint] = true
	return true
}

// dropOld drops the expired crashes at the beginning of entries, and the first one if there are maxKeptCrashes. The caller holds mu.
func (k *Keeper) dropOld(now time.Time) {
	dropped := 0
	for dropped < len(k.entries) && (k.entries[dropped].crash.expired(now) || len(k.entries)-dropped >= maxKeptCrashes) {
		crash := k.entries[dropped].crash
		if !crash.expired(now) {
			logger.Info("crash dropped").Str("fingerprint", crash.Fingerprint).Str("worker", crash.Worker).Int("kept", maxKeptCrashes).Msg("crash dropped")
		}
		if known, found := k.suspects[crash.Fingerprint][crash.event()]; found && !known.foundAt.After(crash.FoundAt) {
			k.forget(crash.Fingerprint, crash.event())
		}
		dropped++
	}
	k.entries = k.entries[dropped:]
	k.firstNumber += int64(dropped)
}

// forget removes a crash from what is counted. The caller holds mu.
func (k *Keeper) forget(fingerprint string, crashed event) {
	delete(k.suspects[fingerprint], crashed)
	if len(k.suspects[fingerprint]) == 0 {
		delete(k.suspects, fingerprint)
		delete(k.companions, fingerprint)
	}
	delete(k.byEvent[crashed], fingerprint)
	if len(k.byEvent[crashed]) > 0 {
		return
	}
	delete(k.byEvent, crashed)
	if k.crashTimes[crashed.process] = k.crashTimes[crashed.process][1:]; len(k.crashTimes[crashed.process]) == 0 {
		delete(k.crashTimes, crashed.process)
	}
}

// write has a crash written to the store. The caller holds mu.
func (k *Keeper) write(crash Crash) {
	if len(k.unwritten) < maxKeptCrashes {
		k.unwritten = append(k.unwritten, crash) // Else the next read of the whole table finds it missing.
	}
}

// announce has new crashes written to the store and sent to other nodes.
func (k *Keeper) announce() {
	k.wakeWriter()
	k.onNew()
}

// Run starts writing to the store, and returns immediately.
func (k *Keeper) Run() { go k.writeUntilStopped() }

// Stop ends the writing without waiting for it; it must be called once.
func (k *Keeper) Stop() { close(k.stopped) }

// wakeWriter makes the writer look for something to write.
func (k *Keeper) wakeWriter() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}
