package crashkeeper

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

const (
	// maxContentCrashes is the number of crashes after which a request with the same content is refused, maxPartCrashes the number after which all
	// requests with a prompt part are. The latter is higher since parts are shared by sound requests, many of which run at each worker.
	maxContentCrashes = 2
	maxPartCrashes    = 3
	// tiedContentCrashes and tiedPartCrashes are the numbers of crashes after which a fingerprint is blamed although others explain the crashes, unless it was
	// answered lately or one of the others never comes without it. Sound requests hardly ever share a content with those that ran at so many crashes.
	tiedContentCrashes = 3
	tiedPartCrashes    = 5
	// answerWait is how long a fingerprint of a request that was answered lately is not blamed: another one is likely to be answered soon. The loss of a rack
	// ends several workers at once, and everything that is asked for often was running there.
	answerWait = 1500 * time.Millisecond
	// maxSuspects bounds the suspects of one verdict.
	maxSuspects = 16
	// partPrefix begins the fingerprints of prompt parts; those of contents begin with a hexadecimal digit.
	partPrefix = "part-"
)

// PartFingerprint returns the fingerprint of a prompt part with an ID.
func PartFingerprint(id string) string {
	return partPrefix + strconv.FormatUint(xxhash.Sum64String(id), 16)
}

// maxCrashes returns the number of crashes after which requests with the fingerprint are refused.
func maxCrashes(fingerprint string) int {
	if strings.HasPrefix(fingerprint, partPrefix) {
		return maxPartCrashes
	}
	return maxContentCrashes
}

// tiedCrashes returns the number of crashes after which requests with the fingerprint are refused although others explain the crashes.
func tiedCrashes(fingerprint string) int {
	if strings.HasPrefix(fingerprint, partPrefix) {
		return tiedPartCrashes
	}
	return tiedContentCrashes
}

// suspicion is what is known of a crash at which a request with a fingerprint was running.
type suspicion struct {
	// foundAt is when the crash was found or last renewed, learnedAt when this node first learned of it.
	foundAt, learnedAt time.Time
	// sound is set if a request with the fingerprint was answered after the crash was known.
	sound bool
}

func (s suspicion) expired(now time.Time) bool { return now.Sub(s.foundAt) > Lifetime }

// suspect holds the crashes at which requests with one fingerprint were running.
type suspect map[event]suspicion

// live returns the crashes that the fingerprint may have caused.
func (s suspect) live(now time.Time) []event {
	var crashes []event
	for crashed, state := range s {
		if !crashed.isTrial() && !state.sound && !state.expired(now) {
			crashes = append(crashes, crashed)
		}
	}
	return crashes
}

// explains reports whether the fingerprint may have caused a crash.
func (s suspect) explains(now time.Time, crashed event) bool {
	state, found := s[crashed]
	return found && !state.sound && !state.expired(now)
}

// span returns when the first and the last of some crashes were found, of which there is at least one.
func (s suspect) span(crashes []event) (first, last time.Time) {
	found := lo.Map(crashes, func(crashed event, _ int) time.Time { return s[crashed].foundAt })
	return slices.MinFunc(found, time.Time.Compare), slices.MaxFunc(found, time.Time.Compare)
}

// Verdict says whether a request crashes workers, as far as a node knows.
type Verdict struct {
	// Refused is set if the request must not be sent, unless on a trial that is registered.
	Refused bool
	// Fingerprint is the one with the most crashes that count, Crashes their number. For a refused request it is the one that is blamed.
	Fingerprint string
	Crashes     int
	// Suspects are the fingerprints that may have caused a crash: the request may be sent only while no other one with any of them is at a worker.
	Suspects []string
	// Tied is set if fingerprints that the request lacks explain so many of these crashes that the others are not enough.
	Tied bool
	// Blamed are the fingerprints that the request is refused for, in the order of its own.
	Blamed []string
	// FirstAt and LastAt are when the first and the last of these crashes were found, and Answered is set if this node got an answer to a request
	// with Fingerprint lately.
	FirstAt, LastAt time.Time
	Answered        bool
	// TrialAt is from when on one request with Blamed may be sent on trial; zero if no trial is left. PendingUntil is until when the last of
	// them may be answered; zero if there are more.
	TrialAt, PendingUntil time.Time
}

// OnTrial returns the fingerprints of which no other request may be at a worker while the request is.
func (v Verdict) OnTrial() []string { return append(slices.Clip(v.Suspects), v.Blamed...) }

// Equal reports whether two verdicts are the same.
func (v Verdict) Equal(other Verdict) bool {
	return v.Refused == other.Refused && v.Fingerprint == other.Fingerprint && v.Crashes == other.Crashes && v.Tied == other.Tied &&
		slices.Equal(v.Suspects, other.Suspects) && slices.Equal(v.Blamed, other.Blamed) &&
		v.TrialAt.Equal(other.TrialAt) && v.PendingUntil.Equal(other.PendingUntil)
}

// Check returns the verdict on a request with these fingerprints. A request is refused if enough crashes came while requests with one of its
// fingerprints ran, none of which was answered since. Crashes do not count if another fingerprint, which the request lacks, was running too and has enough
// crashes to be blamed; from tiedContentCrashes or tiedPartCrashes on they do. Crashes that a request is refused for are renewed.
func (k *Keeper) Check(now time.Time, fingerprints []string) Verdict {
	k.mu.Lock()
	verdict := k.check(now, fingerprints)
	renewed := false
	for _, fingerprint := range verdict.Blamed {
		renewed = k.renew(now, fingerprint) || renewed
	}
	k.mu.Unlock()
	if renewed {
		k.announce()
	}
	return verdict
}

// Look returns what Check does, and renews no crashes.
func (k *Keeper) Look(now time.Time, fingerprints []string) Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.check(now, fingerprints)
}

// check returns what Check does. The caller holds mu.
func (k *Keeper) check(now time.Time, fingerprints []string) (most Verdict) {
	var refused Verdict
	for _, fingerprint := range fingerprints {
		crashes := k.suspects[fingerprint].live(now)
		verdict := Verdict{Fingerprint: fingerprint, Crashes: len(crashes)}
		if enough := maxCrashes(fingerprint); len(crashes) >= enough && !k.mayBeAnswered(now, fingerprint, crashes) {
			unexplained, spared := k.explain(now, fingerprint, crashes, fingerprints)
			verdict.Tied = unexplained < enough
			verdict.Refused = !verdict.Tied || len(crashes) >= tiedCrashes(fingerprint) && !spared && !k.answered.has(now, fingerprint)
		}
		if verdict.Refused {
			if !refused.Refused {
				refused = verdict
				refused.FirstAt, refused.LastAt = k.suspects[fingerprint].span(crashes)
				refused.Answered = k.answered.has(now, fingerprint)
			}
			refused.Blamed = append(refused.Blamed, fingerprint)
			continue
		}
		if verdict.Crashes > most.Crashes {
			verdict.Suspects, most = most.Suspects, verdict
		}
		if k.needsTrial(now, fingerprint, crashes) && len(most.Suspects) < maxSuspects {
			most.Suspects = append(most.Suspects, fingerprint)
		}
	}
	if refused.Refused {
		refused.Suspects = most.Suspects
		refused.TrialAt, refused.PendingUntil = k.nextTrial(now, refused.Blamed)
		return refused
	}
	return most
}

// needsTrial reports whether requests with a fingerprint that may have caused crashes must be sent one at a time. Parts are shared by many sound requests, one of
// which is likely to be answered soon; so they need it only from answerWait after a crash on. The caller holds mu.
func (k *Keeper) needsTrial(now time.Time, fingerprint string, crashes []event) bool {
	if !strings.HasPrefix(fingerprint, partPrefix) {
		return len(crashes) > 0
	}
	return lo.SomeBy(crashes, func(crashed event) bool { return now.Sub(k.suspects[fingerprint][crashed].learnedAt) >= answerWait })
}

// mayBeAnswered reports whether a request with the fingerprint was answered lately, and the crashes that would be enough to refuse it are so young that
// another one may be answered soon. The caller holds mu.
func (k *Keeper) mayBeAnswered(now time.Time, fingerprint string, crashes []event) bool {
	old := lo.CountBy(crashes, func(crashed event) bool { return now.Sub(k.suspects[fingerprint][crashed].learnedAt) >= answerWait })
	return old < maxCrashes(fingerprint) && k.answered.has(now, fingerprint)
}

// explain returns how many of a fingerprint's crashes no other fingerprint explains, one that the request lacks and that has enough crashes to be blamed, and
// whether one of those that do has come here only in requests with the first as well. The caller holds mu.
func (k *Keeper) explain(now time.Time, fingerprint string, crashes []event, fingerprints []string) (unexplained int, spared bool) {
	for _, crashed := range crashes {
		explained := false
		for other := range k.byEvent[crashed] {
			suspect := k.suspects[other]
			if lo.Contains(fingerprints, other) || !suspect.explains(now, crashed) || len(suspect.live(now)) < maxCrashes(other) {
				continue
			}
			explained, spared = true, spared || lo.Contains(k.companions[other], fingerprint)
		}
		if !explained {
			unexplained++
		}
	}
	return unexplained, spared
}

// renew dates the crashes and trials of a fingerprint anew if they are old, and reports whether it did so. The caller holds mu.
func (k *Keeper) renew(now time.Time, fingerprint string) bool {
	renewed := false
	for crashed, state := range k.suspects[fingerprint] {
		if state.sound || state.expired(now) {
			continue
		}
		if crash := crashed.crash(fingerprint, now); k.add(now, crash, true) {
			k.write(crash)
			renewed = true
		}
	}
	return renewed
}

// Crashes returns the number of crashes that a fingerprint may have caused.
func (k *Keeper) Crashes(now time.Time, fingerprint string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.suspects[fingerprint].live(now))
}
