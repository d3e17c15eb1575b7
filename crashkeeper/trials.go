package crashkeeper

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/logger"
)

const (
	// maxTrials bounds the requests with a blamed fingerprint that are sent although it is blamed, over all nodes, unless one of them is
	// answered. The platform allows three sends of a request, or of requests with a part, once it has crashed enough workers.
	maxTrials = 3
	// maxJointTrials bounds those with another blamed fingerprint as well, since a trial that fails for the other one says nothing of the first.
	maxJointTrials = 2
	// jointDelay is how long requests with several blamed fingerprints leave the trials to those with one of them.
	jointDelay = 3 * time.Second
	// lateAfter is the time from the first crash of a fingerprint on after which further ones take up its trials: the requests that caused them
	// were sent late already, if they did, and the bound is on all of them. One trial remains.
	lateAfter = 2 * time.Second
	// withdrawnDelay is the shortest time from a trial that reached no worker to the next one.
	withdrawnDelay = 500 * time.Millisecond
	// trialTime is how long a trial may last.
	trialTime = 10 * time.Second
	// maxRegistrations bounds the numbers that are tried for one trial; a write of which the outcome is unknown is repeated after registrationPause.
	maxRegistrations  = 8
	registrationPause = 20 * time.Millisecond
	// trialKeyPrefix begins the keys of rows of trials; no node's name does.
	trialKeyPrefix = "trial/"
)

// trialDelays are the shortest times from the last crash to the first trial, and from each trial to the next one. Whatever ended the workers may
// go on for some time; so the last trial is kept for later.
var trialDelays = [maxTrials]time.Duration{1 * time.Second, 2 * time.Second, 30 * time.Second}

// Trial is a registered permission to send one request although its fingerprints are blamed.
type Trial struct {
	// registered is the event of the trial, at which no worker crashed; fingerprints are those that are blamed.
	registered   event
	fingerprints []string
	// spent are events, by fingerprint, that take up other trials in place of late crashes.
	spent map[string][]event
}

func newTrialEvent() event { return event{process: process{incarnation: rand.Int64()}} }

// events returns the events of a trial for one of its fingerprints, its own last.
func (t *Trial) events(fingerprint string) []event {
	return append(slices.Clip(t.spent[fingerprint]), t.registered)
}

// isTrial reports whether the event is a trial. It has no worker, and a random number as incarnation. Earlier versions of the program take it for a
// crash.
func (e event) isTrial() bool { return e.worker == "" }

// trials returns when the trials of the fingerprint were registered that brought no answer, in order, and when the last of those was that were
// withdrawn or answered; zero without one.
func (s suspect) trials(now time.Time) (failed []time.Time, settledAt time.Time) {
	for crashed, state := range s {
		switch {
		case !crashed.isTrial() || state.expired(now):
		case state.sound:
			settledAt = latest(settledAt, state.foundAt)
		default:
			failed = append(failed, state.foundAt)
		}
	}
	slices.SortFunc(failed, time.Time.Compare)
	return failed, settledAt
}

// spentTrials returns how many trials of the fingerprint are taken up by late crashes, which is not registered before the first trial is.
func (s suspect) spentTrials(now time.Time) int {
	if failed, _ := s.trials(now); len(failed) > 0 {
		return 0
	}
	crashes := s.live(now)
	if len(crashes) == 0 {
		return 0
	}
	first, _ := s.span(crashes)
	late := lo.CountBy(crashes, func(crashed event) bool { return s[crashed].foundAt.Sub(first) > lateAfter })
	return min(late, maxTrials-1)
}

// nextTrial returns from when on a request with these blamed fingerprints may be sent on trial; zero if one of them has no trial left, or has
// been cleared. Pending is until when the last trial may still be answered if none is left. The caller holds mu.
func (k *Keeper) nextTrial(now time.Time, blamed []string) (at, pending time.Time) {
	for _, fingerprint := range blamed {
		next, pending := k.suspects[fingerprint].nextTrial(now, len(blamed) > 1)
		if next.IsZero() {
			return next, pending
		}
		at = latest(at, next)
	}
	return at, time.Time{}
}

// nextTrial returns what Keeper.nextTrial does for one fingerprint, which is blamed. Joint is set if the request has others that are blamed too.
func (s suspect) nextTrial(now time.Time, joint bool) (at, pending time.Time) {
	limit, pause := maxTrials, time.Duration(0)
	if joint {
		limit, pause = maxJointTrials, jointDelay
	}
	failed, settledAt := s.trials(now)
	if len(failed) >= limit { // Spent trials that are not registered leave one.
		return time.Time{}, failed[len(failed)-1].Add(trialTime)
	}
	crashes := s.live(now)
	if len(crashes) == 0 {
		return time.Time{}, time.Time{} // It has been cleared meanwhile.
	}
	_, lastCrash := s.span(crashes)
	at = lastCrash.Add(max(trialDelays[0], pause))
	if len(failed) > 0 {
		at = latest(at, failed[len(failed)-1].Add(max(trialDelays[len(failed)], pause)))
	}
	if !settledAt.IsZero() {
		at = latest(at, settledAt.Add(withdrawnDelay))
	}
	return at, time.Time{}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// UnregisteredError reports that the store did not confirm a trial.
type UnregisteredError struct {
	// cause is the error of the last write.
	cause error
}

// Error names the cause.
func (e *UnregisteredError) Error() string { return fmt.Sprintf("trial not registered: %v", e.cause) }

// Unwrap returns the cause.
func (e *UnregisteredError) Unwrap() error { return e.cause }

// RegisterTrial writes to the store that a request with blamed fingerprints is about to be sent, and returns nil if none may be sent now. Trials
// of a fingerprint are numbered, and the row of a number can be written once: of nodes that do not know of each other's trials, one has it. With
// alone set, no node reaches the store; the trial then counts by the word of this one. Of many fingerprints, the first maxSuspects decide. The
// error is an *UnregisteredError.
func (k *Keeper) RegisterTrial(now, deadline time.Time, request string, blamed []string, alone bool) (*Trial, error) {
	trial := &Trial{registered: newTrialEvent(), fingerprints: slices.Clone(blamed), spent: map[string][]event{}}
	k.mu.Lock()
	for _, fingerprint := range blamed {
		trial.spent[fingerprint] = lo.Times(k.suspects[fingerprint].spentTrials(now), func(int) event { return newTrialEvent() })
	}
	numbers := lo.SliceToMap(blamed[:min(len(blamed), maxSuspects)], func(fingerprint string) (string, int) {
		return fingerprint, k.suspects[fingerprint].trialCount()
	})
	k.mu.Unlock()
	for range maxRegistrations {
		if !k.isTrialDue(now, blamed) {
			return nil, nil
		}
		numbers = lo.MapValues(numbers, func(number int, _ string) int { return number + 1 })
		existing, err := k.createTrial(now, deadline, trial, numbers)
		if err != nil && !alone {
			k.Withdraw(now, trial) // It may have been written.
			k.count("trials unregistered")
			return nil, &UnregisteredError{cause: err}
		}
		if err != nil || len(existing) == 0 {
			k.addTrial(now, trial, request, err)
			return trial, nil
		}
		k.learnTrials(now, existing)
	}
	return nil, nil
}

// isTrialDue reports whether a request with these blamed fingerprints may be sent on trial now.
func (k *Keeper) isTrialDue(now time.Time, blamed []string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, _ := k.nextTrial(now, blamed)
	return !at.IsZero() && !now.Before(at)
}

// createTrial writes the rows of a trial, with the first numbers for its fingerprints, again until the store responds. It returns the rows of
// other trials that have these numbers; then none was written.
func (k *Keeper) createTrial(now, deadline time.Time, trial *Trial, numbers map[string]int) ([]Row, error) {
	values := map[string]string{}
	for fingerprint, first := range numbers {
		for i, registered := range trial.events(fingerprint) {
			value, err := encode([]Crash{registered.crash(fingerprint, now)})
			if err != nil {
				return nil, err
			}
			values[fmt.Sprint(trialKeyPrefix, fingerprint, "/", first+i)] = value
		}
	}
	for {
		existing, err := k.rows.Create(deadline, values)
		if err == nil { // Own rows are there if the response to the write before was lost.
			return lo.Reject(existing, func(row Row, _ int) bool { return values[row.Key] == row.Value }), nil
		}
		if time.Now().Add(registrationPause).After(deadline) {
			return nil, err
		}
		time.Sleep(registrationPause)
	}
}

// learnTrials learns the trials of other nodes, and has rows deleted that no longer count.
func (k *Keeper) learnTrials(now time.Time, rows []Row) {
	k.ApplyRows(now, rows, false)
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, row := range rows {
		if crashes, err := decode(row.Value); err != nil || allExpired(now, crashes) {
			k.expiredRows[row.Key] = row.Version
		}
	}
	k.wakeWriter()
}

// addTrial records a trial of this node. Unconfirmed is the error of the store, if the trial counts by the word of this node.
func (k *Keeper) addTrial(now time.Time, trial *Trial, request string, unconfirmed error) {
	k.mu.Lock()
	for i, fingerprint := range trial.fingerprints {
		for _, registered := range trial.events(fingerprint) {
			crash := registered.crash(fingerprint, now)
			k.add(now, crash, true)
			if unconfirmed != nil || i >= maxSuspects {
				k.write(crash)
			}
		}
	}
	k.mu.Unlock()
	k.count("trials registered")
	logger.Info("trial registered").Str("request", request).Strs("blamed", trial.fingerprints).
		Int64("trial", trial.registered.incarnation).Err(unconfirmed).Msg("trial registered")
	k.announce()
}

// Withdraw takes a trial back whose request has certainly reached no worker.
func (k *Keeper) Withdraw(now time.Time, trial *Trial) {
	k.mu.Lock()
	for _, fingerprint := range trial.fingerprints {
		news := trial.registered.crash(fingerprint, now)
		news.Sound = true
		k.add(now, news, true)
		k.write(news)
	}
	k.mu.Unlock()
	k.count("trials withdrawn")
	logger.Info("trial withdrawn").Strs("blamed", trial.fingerprints).Int64("trial", trial.registered.incarnation).Msg("trial withdrawn")
	k.announce()
}

// trialCount returns the number of trials of the fingerprint that are known, also of those that were answered or withdrawn.
func (s suspect) trialCount() int {
	return lo.CountBy(lo.Keys(s), func(crashed event) bool { return crashed.isTrial() })
}
