package forwarder

import (
	"io"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/cutdetector"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// loss is a send of a call that did not reach its worker.
type loss struct {
	worker cutdetector.Worker
	at     time.Time
}

// whereIs returns where a worker is.
func whereIs(worker *registrar.Worker) cutdetector.Worker {
	return cutdetector.Worker{Address: worker.Address, Zone: worker.Zone}
}

// CutOff reports whether this node reaches no worker.
func (f *Forwarder) CutOff() bool { return f.reach.IsCut() }

// recordLoss records that a call's send did not reach its worker.
func (f *Forwarder) recordLoss(now time.Time, c *call, worker *registrar.Worker) {
	c.unreachable = append(c.unreachable, loss{whereIs(worker), now})
	listed := lo.UniqBy(f.dependencies.Workers.Fleet().All(), func(worker *registrar.Worker) string { return worker.Address })
	f.reach.Fail(now, whereIs(worker), lo.CountValuesBy(listed, func(worker *registrar.Worker) string { return worker.Zone }))
}

// unreachableAddresses returns the addresses of the workers that the call's sends did not reach.
func (c *call) unreachableAddresses() []string {
	return lo.Map(c.unreachable, func(lost loss, _ int) string { return lost.worker.Address })
}

// lostByPath returns the number of different workers that a call did not reach although they may be there: no bytes have arrived from their zone
// since.
func (f *Forwarder) lostByPath(c *call) int {
	lost := lo.Filter(c.unreachable, func(lost loss, _ int) bool { return !f.reach.HeardSince(lost.worker.Zone, lost.at) })
	return len(lo.UniqBy(lost, func(lost loss) string { return lost.worker.Address }))
}

// lacksPath reports whether a call that no worker can be chosen for may be served by way of another node: this one is cut off, or did not reach a
// worker for it. A single worker that is unreachable is more likely to have ended, and so are those of a zone from which bytes have arrived since.
func (f *Forwarder) lacksPath(c *call) bool {
	lost := f.lostByPath(c)
	return f.reach.IsCut() || lost >= unreachableWorkers || lost > 0 && f.reach.Failures() >= unreachableWorkers
}

// carriesNow reports whether a call is passed on although there are workers for it: the node is cut off, or seems to be to this call. While the node
// is cut off, a call for which this is false must be sent to a worker, so that the end of the cut is noticed.
func (f *Forwarder) carriesNow(now time.Time, c *call) bool {
	return c.mayCarry() && (f.reach.Carries(now) || f.lostByPath(c) >= giveUpWorkers)
}

// wouldCarry returns what carriesNow would, and changes nothing; it is for calls that may have no worker.
func (f *Forwarder) wouldCarry(now time.Time, c *call) bool {
	return c.mayCarry() && (f.reach.WouldCarry(now) || f.lostByPath(c) >= giveUpWorkers)
}

// hear records that a worker has responded, and makes the reads of the response's body record the arrival of bytes.
func (f *Forwarder) hear(worker *registrar.Worker, response *Response) {
	f.reach.Hear(time.Now(), whereIs(worker))
	response.Body = &heardBody{ReadCloser: response.Body, reach: f.reach, worker: whereIs(worker)}
}

// heardBody is the body of a worker's response.
type heardBody struct {
	io.ReadCloser
	reach  *cutdetector.Detector
	worker cutdetector.Worker
}

// Read records the arrival of bytes.
func (b *heardBody) Read(buffer []byte) (int, error) {
	began := time.Now()
	n, err := b.ReadCloser.Read(buffer)
	if n > 0 {
		b.reach.HearRead(began, time.Now(), b.worker)
	}
	return n, err
}
