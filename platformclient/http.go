package platformclient

import (
	"encoding/json"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/acaciaproxy/acaciaproxy/dialer"
)

// httpReadTimeout bounds the wait for the next bytes from the platform.
const httpReadTimeout = 2 * time.Second

// httpPlatform calls the platform over its HTTP interface.
type httpPlatform struct {
	client *fasthttp.HostClient
	// address is the platform's host and port.
	address string
	// zone is the availability zone of this node, sent with every call to say where the
	// call comes from.
	zone string
	// mu guards hosts and hostsTag: the last host list received and its HTTP entity tag.
	mu       sync.Mutex
	hosts    []Host
	hostsTag string
}

// NewHTTP returns a Platform that calls the platform at an address over HTTP, from a
// node in a zone.
func NewHTTP(address, zone string) *Platform {
	h := &httpPlatform{client: dialer.NewNamed(address, httpReadTimeout, dialer.MaxBodyBytes), address: address, zone: zone}
	return &Platform{
		ReadRows:  h.readRows,
		Write:     h.write,
		GetObject: h.getObject,
		PutObject: h.putObject,
		ListHosts: h.listHosts,
	}
}

// calls counts the calls of the process; it is the source of their IDs.
var calls atomic.Int64

// send sends a request with the zone and an ID of its own, and reads the response. A response that may be that of another call is an error.
func (h *httpPlatform) send(deadline time.Time, request *fasthttp.Request, response *fasthttp.Response) error {
	id := "call-" + strconv.FormatInt(calls.Add(1), 36)
	request.Header.Set("X-Zone", h.zone)
	request.Header.Set(dialer.HeaderRequestID, id)
	if err := h.client.DoDeadline(request, response, deadline); err != nil {
		return err
	}
	if err := dialer.Accept(response, id); err != nil {
		h.client.CloseIdleConnections()
		return err
	}
	return nil
}

// call sends a request and returns the status and a copy of the body of the response.
// It returns a *NoResponseError without a response and for the statuses 429 and 5xx.
func (h *httpPlatform) call(deadline time.Time, method, path string, body []byte) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + h.address + path)
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBody(body)
	}
	if err := h.send(deadline, request, response); err != nil {
		return 0, nil, NewNoResponseError(path, err)
	}
	status := response.StatusCode()
	if status >= fasthttp.StatusInternalServerError || status == fasthttp.StatusTooManyRequests {
		return status, nil, NewNoResponseError(path, fmt.Errorf("status %d", status))
	}
	return status, append([]byte(nil), response.Body()...), nil
}

// callJSON sends body as JSON and decodes the response into result. It returns an error
// for every status but 200.
func (h *httpPlatform) callJSON(deadline time.Time, method, path string, body, result any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode platform call %q: %w", path, err)
	}
	status, received, err := h.call(deadline, method, path, encoded)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("platform call %q: status %d", path, status)
	}
	if err := json.Unmarshal(received, result); err != nil {
		return NewNoResponseError(path, err)
	}
	return nil
}

func (h *httpPlatform) readRows(deadline time.Time, keys []string, prefix string) ([]Row, error) {
	request := struct {
		Keys   []string `json:"keys,omitempty"`
		Prefix string   `json:"prefix,omitempty"`
	}{keys, prefix}
	var response struct {
		Rows []Row `json:"rows"`
	}
	err := h.callJSON(deadline, fasthttp.MethodPost, "/table/read", request, &response)
	return response.Rows, err
}

func (h *httpPlatform) write(deadline time.Time, transaction Transaction) (WriteResult, error) {
	var result WriteResult
	err := h.callJSON(deadline, fasthttp.MethodPost, "/table/write", transaction, &result)
	return result, err
}

func (h *httpPlatform) getObject(deadline time.Time, name string) ([]byte, error) {
	status, body, err := h.call(deadline, fasthttp.MethodGet, "/objects/"+name, nil)
	if err != nil {
		return nil, err
	}
	if status == fasthttp.StatusNotFound {
		return nil, NewMissingError(name)
	}
	return body, nil
}

func (h *httpPlatform) putObject(deadline time.Time, name string, body []byte) error {
	_, _, err := h.call(deadline, fasthttp.MethodPut, "/objects/"+name, body)
	return err
}

// listHosts requests the host list with the entity tag of the last list received, so that
// the platform sends the list only if it changed.
func (h *httpPlatform) listHosts(deadline time.Time) ([]Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + h.address + "/hosts")
	request.Header.Set(fasthttp.HeaderIfNoneMatch, h.hostsTag)
	if err := h.send(deadline, request, response); err != nil {
		return nil, NewNoResponseError("/hosts", err)
	}
	switch response.StatusCode() {
	case fasthttp.StatusNotModified:
		return h.hosts, nil
	case fasthttp.StatusOK:
	default:
		return nil, NewNoResponseError("/hosts", fmt.Errorf("HTTP status %d", response.StatusCode()))
	}
	var list struct {
		Hosts []Host `json:"hosts"`
	}
	if err := json.Unmarshal(response.Body(), &list); err != nil {
		return nil, NewNoResponseError("/hosts", err)
	}
	h.hosts, h.hostsTag = list.Hosts, string(response.Header.Peek(fasthttp.HeaderETag))
	return h.hosts, nil
}
