// Package settingsreader reads and checks the settings file of one node: its name,
// availability zone, addresses and limits. The settings are separate from the
// configuration, which operators publish for all nodes together.
package settingsreader

import (
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/configreader"
)

// Values of "log".
const (
	levelInfo  = "info"
	levelDebug = "debug"
	levelWarn  = "warn"
	levelError = "error"
)

// fields are the keys that a settings file may have besides "name".
var fields = []configreader.Field{
	configreader.NewTextField("zone", true, "", "availability zone of this node"),
	configreader.NewTextField("callers", true, "", "IP and port for callers"),
	configreader.NewTextField("operators", true, "", "IP and port for operators"),
	configreader.NewTextField("nodes", true, "", "IP and port for other nodes"),
	configreader.NewTextField("platform", true, "", "IP and port of the platform"),
	configreader.NewTextField("token", false, "", "token that operators must send; none is required when empty"),
	configreader.NewChoiceField("log", []string{levelInfo, levelDebug, levelWarn, levelError}, "lowest level that is logged"),
	configreader.NewNumberField("body", 1, 1<<20, 4096, "largest request body in KiB"),
	configreader.NewNumberField("header", 1, 1024, 32, "largest request header in KiB"),
	configreader.NewNumberField("connections", 1, 1e6, 8192, "maximum number of open connections of callers"),
	configreader.NewNumberField("streams", 1, 1e6, 4096, "maximum number of requests in flight"),
	configreader.NewNumberField("read", 1, 3600, 15, "seconds within which a caller must have sent its whole request"),
	configreader.NewNumberField("drain", 1, 3600, 120, "seconds within which the requests in flight must end when the node is stopped"),
	configreader.NewChoiceField("form", []string{FormTable, FormFleet}, "kind of platform; with \"fleet\", its store holds the configuration that operators publish and the heartbeats of workers"),
	configreader.NewTextField("ready", false, "", "IP and port for the load balancer's readiness checks, with form \"fleet\""),
	configreader.NewNumberField("quiet", 0, 60000, 3000, "minimum milliseconds between the last order of one leader and the first of the next, with form \"fleet\""),
	configreader.NewNumberField("cores", 0.001, 4096, 1, "number of processor cores of this host, with form \"fleet\""),
	configreader.NewNumberField("share", 0.001, 1, 1, "fraction of each core that this node may use; nodes that may use more cores are preferred as leaders, with form \"fleet\""),
	configreader.NewNumberField("ratio", 0, 10, 0.2, "retries allowed per request of a service, counted over all nodes, with form \"fleet\""),
	configreader.NewNumberField("slack", 0, 1e6, 50, "further retries of a service allowed in each window, counted over all nodes, with form \"fleet\""),
	configreader.NewNumberField("window", 1, 3600, 10, "length in seconds of the window in which retries are counted, with form \"fleet\""),
	configreader.NewNumberField("revoke", 0, 3600000, 0, "milliseconds after which a key that was taken away is accepted nowhere, whatever this node hears; 0 sets no such bound, with form \"fleet\""),
	configreader.NewNumberField("quotawindow", 1, 3600, 8, "length in seconds of the window in which tenants' allowances are checked, with form \"fleet\""),
	configreader.NewNumberField("quotaovershoot", 0, 1, 0.1, "fraction by which a tenant may exceed its allowance in a window, with form \"fleet\""),
	configreader.NewNumberField("quotaslack", 0, 1e12, 0, "further tokens that a tenant may use in a window, with form \"fleet\""),
	configreader.NewTextField("zones", false, "", "names of all availability zones, separated by commas, among which tenants' allowances are divided, with form \"fleet\""),
	configreader.NewNumberField("memory", 0, 1e9, 0, "memory of this host in MiB, by which the bytes of callers are bounded; 0 if not known"),
	configreader.NewNumberField("descriptors", 0, 1e9, 0, "file descriptors of this host, by which connections are bounded; 0 if not known"),
	configreader.NewNumberField("hedge", 0, 100, 0, "hedged sends allowed per 100 requests of a service; 0 sends none, with form \"fleet\""),
	configreader.NewNumberField("repeat", 0, 1, 0, "1 if an idempotent request that a worker answered with status 500 is sent to another worker, with form \"fleet\""),
	configreader.NewNumberField("room", 0, 1, 0, "1 if requests for a model wait at this node while the workers that have it are full, with form \"fleet\""),
}

// Values of "form".
const (
	// FormTable is a platform with acaciaproxy's own interface: a table, an object store and a host list.
	FormTable = "table"
	// FormFleet is a platform with a store, into which operators write the configuration and workers their heartbeats.
	FormFleet = "fleet"
)

// Settings are the settings of one node. They are immutable.
type Settings struct {
	// object has only the keys in fields, with allowed values, and its addresses are valid.
	object *configreader.Object
}

// AddressError is the error of a settings key whose value is not an IP address with a port.
type AddressError struct {
	// key and value are as written in the settings file.
	key, value string
}

// Error names the key and the value.
func (e *AddressError) Error() string {
	return fmt.Sprintf("%q must be an IP address and a port, such as 10.0.0.7:8080; it is %q", e.key, e.value)
}

// Read reads and checks the settings file at a path. It fails when the file cannot be read or Parse fails.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings file: %w", err)
	}
	return Parse(path, text)
}

// Parse parses and checks the text of a settings file; path is used in errors only.
// The error wraps an *AddressError, or is a *configreader.FaultsError for any other fault.
func Parse(path string, text []byte) (*Settings, error) {
	object, err := configreader.ReadObject(path, text, "settings", fields)
	if err != nil {
		return nil, err
	}
	addresses := []string{"callers", "operators", "nodes", "platform"}
	if object.Text("form") == FormFleet {
		addresses = append(addresses, "ready")
	}
	for _, key := range addresses {
		if _, err := netip.ParseAddrPort(object.Text(key)); err != nil {
			return nil, fmt.Errorf("settings file %s: %w", path, &AddressError{key: key, value: object.Text(key)})
		}
	}
	return &Settings{object: object}, nil
}

// Fields returns the keys that a settings file may have besides "name".
func Fields() []configreader.Field { return fields }

// Name returns the node's name, which is its host's name in the host list.
func (s *Settings) Name() string { return s.object.Name() }

// Zone returns the name of the availability zone.
func (s *Settings) Zone() string { return s.object.Text("zone") }

// Callers returns the IP address and port that callers connect to.
func (s *Settings) Callers() string { return s.object.Text("callers") }

// Operators returns the IP address and port that operators connect to.
func (s *Settings) Operators() string { return s.object.Text("operators") }

// Nodes returns the IP address and port that other nodes connect to.
func (s *Settings) Nodes() string { return s.object.Text("nodes") }

// Platform returns the platform's IP address and port.
func (s *Settings) Platform() string { return s.object.Text("platform") }

// Token returns the token that operators must send, or "" when none is required. It must not be logged or shown.
func (s *Settings) Token() string { return s.object.Text("token") }

// LogLevel returns the lowest level that is logged: debug, info, warn or error.
func (s *Settings) LogLevel() string { return s.object.Text("log") }

// Form returns FormTable or FormFleet.
func (s *Settings) Form() string { return s.object.Text("form") }

// Ready returns the IP address and port for readiness checks, which is valid with FormFleet only.
func (s *Settings) Ready() string { return s.object.Text("ready") }

// QuietMS returns the least time between the last order of one leader and the first order of the next, in milliseconds.
func (s *Settings) QuietMS() int64 { return int64(s.object.Number("quiet")) }

// Cores returns how many processor cores this node may use; nodes with more are preferred as leaders.
func (s *Settings) Cores() float64 { return s.object.Number("cores") * s.object.Number("share") }

// RetryRatio returns how many retries are allowed per request of a service, counted over all nodes.
func (s *Settings) RetryRatio() float64 { return s.object.Number("ratio") }

// RetrySlack returns how many further retries of a service are allowed in each window, counted over all nodes.
func (s *Settings) RetrySlack() float64 { return s.object.Number("slack") }

// RetryWindow returns the length of the window in which retries are counted, in seconds.
func (s *Settings) RetryWindow() int { return int(s.object.Number("window")) }

// RevokeMS returns the milliseconds after which a key that was taken away must be accepted nowhere; 0 for no such bound.
func (s *Settings) RevokeMS() int64 { return int64(s.object.Number("revoke")) }

// QuotaWindow returns the length of the window in which tenants' allowances are checked, in seconds.
func (s *Settings) QuotaWindow() float64 { return s.object.Number("quotawindow") }

// QuotaOvershoot returns the fraction by which a tenant may exceed its allowance in a window.
func (s *Settings) QuotaOvershoot() float64 { return s.object.Number("quotaovershoot") }

// QuotaSlack returns how many tokens a tenant may use in a window beyond that.
func (s *Settings) QuotaSlack() float64 { return s.object.Number("quotaslack") }

// Zones returns the names of all availability zones, or none if the settings do not name them.
func (s *Settings) Zones() []string {
	return lo.Compact(lo.Map(strings.Split(s.object.Text("zones"), ","), func(name string, _ int) string { return strings.TrimSpace(name) }))
}

// Memory returns the memory of the host in bytes, or 0 if it is not known.
func (s *Settings) Memory() int64 { return int64(s.object.Number("memory")) << 20 }

// Descriptors returns the number of file descriptors of the host, or 0 if it is not known.
func (s *Settings) Descriptors() int { return int(s.object.Number("descriptors")) }

// HedgePercent returns how many hedged sends are allowed per 100 requests of a service.
func (s *Settings) HedgePercent() float64 { return s.object.Number("hedge") }

// RepeatsFailures reports whether an idempotent request that a worker answered with status 500 is sent to another worker.
func (s *Settings) RepeatsFailures() bool { return s.object.Number("repeat") > 0 }

// WaitsForRoom reports whether requests for a model wait at this node while the workers that have it are full.
func (s *Settings) WaitsForRoom() bool { return s.object.Number("room") > 0 }

const bytesPerKiB = 1 << 10

// BodyLimit returns the largest request body in bytes.
func (s *Settings) BodyLimit() int { return int(s.object.Number("body")) * bytesPerKiB }

// HeaderLimit returns the largest request header in bytes.
func (s *Settings) HeaderLimit() int { return int(s.object.Number("header")) * bytesPerKiB }

// MaxConnections returns how many connections callers may have open at this node.
func (s *Settings) MaxConnections() int { return int(s.object.Number("connections")) }

// MaxInFlight returns how many requests may be in flight at this node.
func (s *Settings) MaxInFlight() int { return int(s.object.Number("streams")) }

// ReadTimeout returns the time within which a caller must have sent its whole request.
func (s *Settings) ReadTimeout() time.Duration {
	return time.Duration(s.object.Number("read") * float64(time.Second))
}

// DrainTimeout returns the time within which the requests in flight must end when the node is stopped.
func (s *Settings) DrainTimeout() time.Duration {
	return time.Duration(s.object.Number("drain") * float64(time.Second))
}
