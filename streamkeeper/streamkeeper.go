// Package streamkeeper keeps the software version at which each stream began, so
// that it goes on at no other one, whichever node its caller takes it up at. What one node
// knows is sent to the leaders of three zones, whether or not several versions serve: a second
// version may come after the node has ended. A node that does not know where a stream began
// asks the leaders.
package streamkeeper

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
)

const (
	// memory is how long the origin of a stream is kept after its last event; up to twice this time.
	memory = 30 * time.Second
	// maxOrigins bounds the streams of each generation; further ones are not kept. A leader that hears of 7,000 streams a second fills it in half a minute.
	maxOrigins = 250_000
	// maxOwn bounds the origins of this node that are kept for new leaders; the oldest are dropped first.
	maxOwn = 5_000
)

// Origin is where a stream began.
type Origin struct {
	// Service is the service, Software the version of the worker's software; both are not empty.
	Service, Software string
}

// Stream is the origin of one stream. Attempt is the hash of the caller's attempt that brought its first event.
type Stream struct {
	Attempt uint64
	Origin  Origin
}

// Inquiry is what the leaders of all zones know of one stream.
type Inquiry struct {
	// Origin is where the stream began, if Known is set.
	Origin Origin
	Known  bool
	// Complete is set if all leaders have answered and none knows the stream.
	Complete bool
	// Versions are the software versions of the service's workers in the last minute, as far as the leaders that have answered know them. VersionsKnown is set
	// if one of them knows all, also those of the time before its process started.
	Versions      []string
	VersionsKnown bool
}

// Encode returns streams as messages to other nodes hold them, one entry for each origin.
func Encode(streams []Stream) []*nodewire.StreamOrigins {
	groups := lo.GroupBy(streams, func(stream Stream) Origin { return stream.Origin })
	return lo.MapToSlice(groups, func(origin Origin, group []Stream) *nodewire.StreamOrigins {
		attempts := lo.Map(group, func(stream Stream, _ int) uint64 { return stream.Attempt })
		return &nodewire.StreamOrigins{Service: origin.Service, Software: origin.Software, Attempts: attempts}
	})
}

// Decode returns the streams of a message.
func Decode(encoded []*nodewire.StreamOrigins) []Stream {
	return lo.FlatMap(encoded, func(group *nodewire.StreamOrigins, _ int) []Stream {
		origin := Origin{Service: group.GetService(), Software: group.GetSoftware()}
		return lo.Map(group.GetAttempts(), func(attempt uint64, _ int) Stream { return Stream{Attempt: attempt, Origin: origin} })
	})
}

// Hash returns the hash of the ID of a caller's attempt.
func Hash(attempt string) uint64 { return xxhash.Sum64String(attempt) }

// Keeper holds the origins that one node knows. It is safe for concurrent use.
type Keeper struct {
	// mu guards everything below.
	mu sync.Mutex
	// current is filled until currentEnds; previous was before it.
	current, previous generation
	currentEnds       time.Time
	// own are the streams that this node relayed, in the order in which they began. The first has the number firstNumber, and the numbers increase by one.
	own         []ownStream
	firstNumber int64
}

// generation holds the streams of one span of time. Its maps hold no pointers, so that the garbage collector need not scan the streams.
type generation struct {
	// streams maps attempts to indexes of origins; numbers is the inverse of origins.
	streams map[uint64]uint32
	origins []Origin
	numbers map[Origin]uint32
}

func newGeneration() generation {
	return generation{streams: map[uint64]uint32{}, numbers: map[Origin]uint32{}}
}

// add records a stream unless the generation is full.
func (g *generation) add(stream Stream) {
	if _, known := g.streams[stream.Attempt]; !known && len(g.streams) >= maxOrigins {
		return
	}
	number, known := g.numbers[stream.Origin]
	if !known {
		number = uint32(len(g.origins))
		g.origins = append(g.origins, stream.Origin)
		g.numbers[stream.Origin] = number
	}
	g.streams[stream.Attempt] = number
}

// find returns the origin of a stream, if the generation holds it.
func (g *generation) find(attempt uint64) (Origin, bool) {
	number, known := g.streams[attempt]
	if !known {
		return Origin{}, false
	}
	return g.origins[number], true
}

// ownStream is a stream that this node relayed.
type ownStream struct {
	stream Stream
	// expires is when it is dropped.
	expires time.Time
}

// New returns a keeper that knows no streams.
func New() *Keeper {
	return &Keeper{current: newGeneration(), previous: newGeneration()}
}

// Record records the origin of a stream that this node relays. It is called again while the stream goes on.
func (k *Keeper) Record(now time.Time, attempt string, origin Origin) {
	stream := Stream{Attempt: Hash(attempt), Origin: origin}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.add(now, stream)
	dropped := 0
	for dropped < len(k.own) && (now.After(k.own[dropped].expires) || len(k.own)-dropped >= maxOwn) {
		dropped++
	}
	k.own = append(k.own[dropped:], ownStream{stream: stream, expires: now.Add(memory)})
	k.firstNumber += int64(dropped)
}

// Learn records the origin of a stream that another node relayed.
func (k *Keeper) Learn(now time.Time, stream Stream) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.add(now, stream)
}

// Find returns the origin of a stream, if this node knows it.
func (k *Keeper) Find(now time.Time, attempt uint64) (Origin, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.turn(now)
	if origin, known := k.current.find(attempt); known {
		return origin, true
	}
	return k.previous.find(attempt)
}

// Since returns the streams that this node relayed with numbers from first on, and the number from which to continue.
func (k *Keeper) Since(now time.Time, first int64) (streams []Stream, next int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := max(first-k.firstNumber, 0); i < int64(len(k.own)); i++ {
		if own := &k.own[i]; !now.After(own.expires) {
			streams = append(streams, own.stream)
		}
	}
	return streams, k.firstNumber + int64(len(k.own))
}

// add records a stream. The caller holds mu.
func (k *Keeper) add(now time.Time, stream Stream) {
	k.turn(now)
	k.current.add(stream)
}

// turn begins a new generation if the current one has ended. The caller holds mu.
func (k *Keeper) turn(now time.Time) {
	if now.Before(k.currentEnds) {
		return
	}
	if k.previous = k.current; now.Sub(k.currentEnds) > memory {
		k.previous = newGeneration()
	}
	k.current, k.currentEnds = newGeneration(), now.Add(memory)
}
