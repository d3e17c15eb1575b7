package platformstandin

import (
	"errors"
	"time"

	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// errOutage and errLost are the causes of unanswered calls.
var (
	errOutage = errors.New("outage")
	errLost   = errors.New("answer lost")
)

// Direct returns the platform as seen from a zone without a network between,
// with the same fault switches. Tests on a fake clock use it.
func (p *Platform) Direct(zone string) *platformclient.Platform {
	d := &direct{platform: p, zone: zone}
	return &platformclient.Platform{
		ReadRows: d.readRows, Write: d.write, GetObject: d.getObject, PutObject: d.putObject, ListHosts: d.listHosts,
	}
}

type direct struct {
	platform *Platform
	zone     string
}

// reach waits as the switches say and returns an error when the call does not
// get through by its deadline.
func (d *direct) reach(call string, deadline time.Time) error {
	if !d.platform.reachable(d.zone) {
		return platformclient.NewUnansweredError(call, errOutage)
	}
	if time.Now().After(deadline) {
		return platformclient.NewUnansweredError(call, errLost)
	}
	return nil
}

func (d *direct) readRows(deadline time.Time, keys []string, prefix string) ([]platformclient.Row, error) {
	if err := d.reach("read", deadline); err != nil {
		return nil, err
	}
	d.platform.reads.Add(1)
	var rows []platformclient.Row
	for _, row := range d.platform.table.read(keys, prefix) {
		rows = append(rows, platformclient.Row(row))
	}
	return rows, nil
}

func (d *direct) write(deadline time.Time, transaction platformclient.Transaction) (platformclient.Verdict, error) {
	if !d.platform.reachable(d.zone) {
		return platformclient.Verdict{}, platformclient.NewUnansweredError("write", errOutage)
	}
	d.platform.writes.Add(1)
	converted := Transaction{Deletes: transaction.Deletes}
	for _, check := range transaction.Checks {
		converted.Checks = append(converted.Checks, Check(check))
	}
	for _, put := range transaction.Puts {
		converted.Puts = append(converted.Puts, Row(put))
	}
	verdict := d.platform.table.write(converted)
	if d.platform.loseAnswer() || time.Now().After(deadline) {
		return platformclient.Verdict{}, platformclient.NewUnansweredError("write", errLost)
	}
	answer := platformclient.Verdict{Done: verdict.Done, Versions: verdict.Versions}
	for _, conflict := range verdict.Conflicts {
		answer.Conflicts = append(answer.Conflicts, platformclient.Row(conflict))
	}
	return answer, nil
}

func (d *direct) getObject(deadline time.Time, name string) ([]byte, error) {
	if err := d.reach("get object", deadline); err != nil {
		return nil, err
	}
	d.platform.mu.Lock()
	defer d.platform.mu.Unlock()
	object, found := d.platform.objects[name]
	if !found {
		return nil, platformclient.NewMissingError(name)
	}
	return object, nil
}

func (d *direct) putObject(deadline time.Time, name string, body []byte) error {
	if err := d.reach("put object", deadline); err != nil {
		return err
	}
	d.platform.mu.Lock()
	defer d.platform.mu.Unlock()
	d.platform.objects[name] = append([]byte(nil), body...)
	return nil
}

func (d *direct) listHosts(deadline time.Time) ([]platformclient.Host, error) {
	if err := d.reach("list hosts", deadline); err != nil {
		return nil, err
	}
	var hosts []platformclient.Host
	for _, host := range d.platform.listed() {
		hosts = append(hosts, platformclient.Host(host))
	}
	return hosts, nil
}
