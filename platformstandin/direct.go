package platformstandin

import (
	"errors"
	"time"

	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// Causes of calls that get no response.
var (
	errOutage = errors.New("outage")
	errLost   = errors.New("response was lost or later than the deadline")
)

// DirectClient returns a client in a zone that calls the platform in the same process,
// without a network, and applies the same fault switches. Tests that run on a fake
// clock use it.
func (p *Platform) DirectClient(zone string) *platformclient.Platform {
	d := &directClient{platform: p, zone: zone}
	return &platformclient.Platform{
		ReadRows: d.readRows, Write: d.write, GetObject: d.getObject, PutObject: d.putObject, ListHosts: d.listHosts,
	}
}

// directClient calls the platform from one zone.
type directClient struct {
	platform *Platform
	zone     string
}

// waitReachable waits while Hang is set and for SlowMS, and returns an error during
// an outage, when the zone is cut off or when the deadline has passed.
func (d *directClient) waitReachable(call string, deadline time.Time) error {
	if !d.platform.waitReachable(d.zone) {
		return platformclient.NewNoResponseError(call, errOutage)
	}
	if time.Now().After(deadline) {
		return platformclient.NewNoResponseError(call, errLost)
	}
	return nil
}

func (d *directClient) readRows(deadline time.Time, keys []string, prefix string) ([]platformclient.Row, error) {
	if err := d.waitReachable("read", deadline); err != nil {
		return nil, err
	}
	d.platform.reads.Add(1)
	var rows []platformclient.Row
	for _, row := range d.platform.table.read(keys, prefix) {
		rows = append(rows, platformclient.Row(row))
	}
	return rows, nil
}

func (d *directClient) write(deadline time.Time, transaction platformclient.Transaction) (platformclient.WriteResult, error) {
	if !d.platform.waitReachable(d.zone) {
		return platformclient.WriteResult{}, platformclient.NewNoResponseError("write", errOutage)
	}
	d.platform.writes.Add(1)
	converted := Transaction{Deletes: transaction.Deletes}
	for _, check := range transaction.Checks {
		converted.Checks = append(converted.Checks, Check(check))
	}
	for _, put := range transaction.Puts {
		converted.Puts = append(converted.Puts, Row(put))
	}
	result := d.platform.table.write(converted)
	if d.platform.takeLostWrite() || time.Now().After(deadline) {
		return platformclient.WriteResult{}, platformclient.NewNoResponseError("write", errLost)
	}
	response := platformclient.WriteResult{Done: result.Done, Versions: result.Versions}
	for _, conflict := range result.Conflicts {
		response.Conflicts = append(response.Conflicts, platformclient.Row(conflict))
	}
	return response, nil
}

func (d *directClient) getObject(deadline time.Time, name string) ([]byte, error) {
	if err := d.waitReachable("get object", deadline); err != nil {
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

func (d *directClient) putObject(deadline time.Time, name string, body []byte) error {
	if err := d.waitReachable("put object", deadline); err != nil {
		return err
	}
	d.platform.mu.Lock()
	defer d.platform.mu.Unlock()
	d.platform.objects[name] = append([]byte(nil), body...)
	return nil
}

func (d *directClient) listHosts(deadline time.Time) ([]platformclient.Host, error) {
	if err := d.waitReachable("list hosts", deadline); err != nil {
		return nil, err
	}
	var hosts []platformclient.Host
	for _, host := range d.platform.laggedHosts() {
		hosts = append(hosts, platformclient.Host(host))
	}
	return hosts, nil
}
