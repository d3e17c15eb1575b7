package server

import (
	"time"

	"github.com/acaciaproxy/acaciaproxy/forwarder"
	"github.com/acaciaproxy/acaciaproxy/platform"
)

// where answers GET /where of the operators' address: where a request would go now. It sends nothing.
func (f *FleetNode) where(get func(name string) string) (forwarder.Whereabouts, error) {
	now := time.Now()
	question, err := platform.DecodeQuestion(get, now)
	if err != nil {
		return forwarder.Whereabouts{}, err
	}
	return f.forwarder.Where(now, question), nil
}
