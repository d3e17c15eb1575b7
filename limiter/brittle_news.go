package limiter

import (
	"math"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/logger"
)

const (
	// newsPause is the least time between two pieces of news of the same service that say the same. It is well below brittleMemory, so that a service does not
	// count as sound between two.
	newsPause = 500 * time.Millisecond
	// maxBrittleServices bounds the memory; further services count as sound.
	maxBrittleServices = 256
)

// Brittle is the news that the workers of a service are brittle.
type Brittle struct {
	Service string
	// PerSecond is how many requests each of them turns away in a second without falling over; it is not negative.
	PerSecond float64
	// ObservedAt is when a node got the response that says so.
	ObservedAt time.Time
}

// LearnBrittle applies news that another node sent.
func (l *Limiter) LearnBrittle(now time.Time, news Brittle) {
	if math.IsNaN(news.PerSecond) || math.IsInf(news.PerSecond, 0) || news.PerSecond < 0 {
		return // A node sends only what passed ObserveBrittle.
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyBrittle(now, news, "another node", false)
}

// applyBrittle has the workers of a service count as brittle; source says from where this node knows. The caller holds mu.
func (l *Limiter) applyBrittle(now time.Time, news Brittle, source string, own bool) {
	until := news.ObservedAt.Add(brittleMemory)
	if !now.Before(until) {
		return
	}
	known := l.brittle[news.Service]
	if known != nil && news.ObservedAt.Before(known.news.ObservedAt) {
		return
	}
	if known == nil {
		l.brittle = lo.PickBy(l.brittle, func(_ string, service *brittleService) bool {
			return now.Before(service.news.ObservedAt.Add(unledBrittleMemory))
		})
		if len(l.brittle) >= maxBrittleServices {
			return
		}
		known = &brittleService{pausedUntil: map[string]time.Time{}, unledUntil: map[string]time.Time{}, unled: map[string]*bucket{}}
		l.brittle[news.Service] = known
		l.count("brittle services learned")
		logger.Info("workers are brittle").Str("service", news.Service).Float64("per_second", news.PerSecond).Int64("age_ms", now.Sub(news.ObservedAt).Milliseconds()).Str("source", source).
			Msg("workers are brittle")
	}
	if known.numberedAt.IsZero() || news.PerSecond != known.news.PerSecond || now.Sub(known.numberedAt) >= newsPause {
		known.number, known.numberedAt, known.own = l.nextBrittle, now, own
		l.nextBrittle++
	}
	known.news, known.until = news, until
}

// BrittleSince returns the news of the services that are brittle if its number is first or higher, and the number from which to continue. With ownOnly set,
// it returns only what this node learned from responses of workers.
func (l *Limiter) BrittleSince(now time.Time, first int64, ownOnly bool) (news []Brittle, next int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if first >= l.nextBrittle {
		return nil, l.nextBrittle
	}
	for _, known := range l.brittle {
		if known.number >= first && (known.own || !ownOnly) && now.Before(known.until) {
			news = append(news, known.news)
		}
	}
	return news, l.nextBrittle
}
