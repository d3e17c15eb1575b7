package forwarder

import (
	"math"
	"time"

	"github.com/acaciaproxy/acaciaproxy/assessor"
	"github.com/acaciaproxy/acaciaproxy/limiter"
	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// verdict says whether a worker may be sent a request.
type verdict struct {
	assessor.Assessment
	// usable is set if it may. Limited is set if it names a limit.
	usable, limited bool
	// retryAt is when it may be again, and code the code of a refusal for its sake; both are zero if it is usable or could not be reached.
	retryAt time.Time
	code    string
}

// obstacle is why a worker gets no request.
type obstacle string

// Obstacles, as operators are shown them; that of a verdict with a code is the code.
const (
	obstacleLeaving   obstacle = "leaving"
	obstacleSoftware  obstacle = "other software version"
	obstacleExcluded  obstacle = "excluded"
	obstacleNoModel   obstacle = "no model"
	obstacleNoAdapter obstacle = "no adapter"
	obstacleLoading   obstacle = "loading"
)

// obstacle returns why a worker that is not usable gets no request, and an empty text for one that is.
func (v *verdict) obstacle() obstacle {
	switch {
	case v.usable:
		return ""
	case v.code != "":
		return obstacle(v.code)
	default:
		return obstacleExcluded
	}
}

// orEarlier returns another verdict instead if that ends earlier; a verdict without a time never does.
func (v verdict) orEarlier(other verdict) verdict {
	if !other.retryAt.IsZero() && (v.retryAt.IsZero() || other.retryAt.Before(v.retryAt)) {
		return other
	}
	return v
}

// judge decides whether a worker may be sent a request now. It is the only place that does; that the worker leaves is decided by the list.
// Announced is the load of the worker in requests as a leader announced it, or -1 if none did.
func (f *Forwarder) judge(now time.Time, worker *registrar.Worker, announced int) verdict {
	v := verdict{Assessment: f.dependencies.Assessor.Assess(now, worker.ID)}
	load := max(announced, v.ReportedLoad, v.Running-v.RecentSends)
	if load >= 0 || v.RecentSends > 0 {
		load = max(load, 0) + v.RecentSends
	}
	room, roomAt := f.dependencies.Limiter.HasRoom(now, worker.Service, worker.ID, load, v.RecentSends, worker.Slots)
	permitted, limited, permitAt := f.dependencies.Limiter.Usable(now, worker.ID, worker.Incarnation)
	v.limited = limited
	pausedUntil := f.dependencies.Assessor.PausedUntil(now, worker.ID, worker.Incarnation)
	switch {
	case !pausedUntil.IsZero():
		v.retryAt, v.code = pausedUntil, "paused"
	case !permitted:
		v.retryAt, v.code = permitAt, "limited"
	case !room:
		v.retryAt, v.code = roomAt, "brittle"
	default:
		v.usable = !v.Excluded
	}
	return v
}

// permitSend reports whether a call may be sent to a worker that was chosen for it. It gets a slot of a brittle worker and a permit of one that names a limit; if
// it does not, the worker is not chosen again before one may be had.
func (f *Forwarder) permitSend(c *call, worker *registrar.Worker) bool {
	seat := limiter.Seat{Service: worker.Service, Zone: worker.Zone, Worker: worker.ID, Incarnation: worker.Incarnation, Slots: worker.Slots}
	slot, reserved := f.dependencies.Limiter.Reserve(time.Now(), seat, c.deadline)
	if !reserved {
		return false
	}
	if !f.dependencies.Limiter.Acquire(worker.Zone, worker.ID, worker.Incarnation) {
		slot.End(false)
		return false
	}
	c.slot = slot
	return true
}

// refusalMessages are the messages of refusals by the codes of verdicts.
var refusalMessages = map[string]string{
	"limited": "the workers take no more requests now",
	"paused":  "the workers have asked for a pause",
	"brittle": "the workers have no room now, and fall over if they must turn many requests away",
}

// maxPause bounds the time for which a worker's word keeps requests from it; after that, its next response decides.
const maxPause = 60 * time.Second

// observePause records the seconds for which a worker that did not run a request wants no more from this node, or nil. A value that is not a
// number or negative is ignored, a longer time than maxPause is shortened.
func (f *Forwarder) observePause(c *call, worker *registrar.Worker, seconds *float64) {
	if seconds == nil || *seconds == 0 {
		return
	}
	now := time.Now()
	valid := *seconds > 0
	var until time.Time
	if valid {
		until = f.dependencies.Assessor.Pause(worker.ID, worker.Incarnation, now.Add(time.Duration(min(*seconds, maxPause.Seconds())*float64(time.Second))))
		f.dependencies.Recorder.Count("worker pauses")
	}
	named := *seconds
	if math.IsNaN(named) || math.IsInf(named, 0) {
		named = -1 // JSON has no such numbers.
	}
	logger.Info("worker asks for a pause").Str("request", c.ID).Str("worker", worker.ID).Int64("born", worker.Incarnation).Float64("seconds", named).
		Bool("valid", valid).Int64("paused_ms", max(until.Sub(now).Milliseconds(), 0)).Msg("worker asks for a pause")
}
