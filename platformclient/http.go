package platformclient

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/acaciaproxy/acaciaproxy/dialer"
)

// httpProgress bounds the wait for the platform's next byte.
const httpProgress = 2 * time.Second

// httpPlatform speaks the platform's HTTP interface.
type httpPlatform struct {
	client  *fasthttp.HostClient
	address string
	// zone is sent with every call, so that the platform can tell where it came from.
	zone string
	// mu guards hosts and hostsTag, the last host list and its entity tag.
	mu       sync.Mutex
	hosts    []Host
	hostsTag string
}

// NewHTTP returns the platform at an address, as seen from a zone.
func NewHTTP(address, zone string) *Platform {
	h := &httpPlatform{client: dialer.New(address, httpProgress), address: address, zone: zone}
	return &Platform{
		ReadRows:  h.readRows,
		Write:     h.write,
		GetObject: h.getObject,
		PutObject: h.putObject,
		ListHosts: h.listHosts,
	}
}

// call sends a request and returns the status and body of the answer.
func (h *httpPlatform) call(deadline time.Time, method, path string, body []byte) (int, []byte, error) {
	request, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(answer)
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + h.address + path)
	request.Header.Set("X-Zone", h.zone)
	if body != nil {
		request.Header.SetContentType("application/json")
		request.SetBody(body)
	}
	if err := h.client.DoDeadline(request, answer, deadline); err != nil {
		return 0, nil, NewUnansweredError(path, err)
	}
	status := answer.StatusCode()
	if status >= fasthttp.StatusInternalServerError || status == fasthttp.StatusTooManyRequests {
		return status, nil, NewUnansweredError(path, fmt.Errorf("status %d", status))
	}
	return status, append([]byte(nil), answer.Body()...), nil
}

func (h *httpPlatform) callJSON(deadline time.Time, method, path string, body, result any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode platform call %q: %w", path, err)
	}
	status, text, err := h.call(deadline, method, path, encoded)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("platform call %q: status %d", path, status)
	}
	if err := json.Unmarshal(text, result); err != nil {
		return NewUnansweredError(path, err)
	}
	return nil
}

func (h *httpPlatform) readRows(deadline time.Time, keys []string, prefix string) ([]Row, error) {
	request := struct {
		Keys   []string `json:"keys,omitempty"`
		Prefix string   `json:"prefix,omitempty"`
	}{keys, prefix}
	var answer struct {
		Rows []Row `json:"rows"`
	}
	err := h.callJSON(deadline, fasthttp.MethodPost, "/table/read", request, &answer)
	return answer.Rows, err
}

func (h *httpPlatform) write(deadline time.Time, transaction Transaction) (Verdict, error) {
	var verdict Verdict
	err := h.callJSON(deadline, fasthttp.MethodPost, "/table/write", transaction, &verdict)
	return verdict, err
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

// listHosts asks for the host list only if it changed since the last call.
func (h *httpPlatform) listHosts(deadline time.Time) ([]Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	request, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(answer)
	request.SetRequestURI("http://" + h.address + "/hosts")
	request.Header.Set("X-Zone", h.zone)
	request.Header.Set(fasthttp.HeaderIfNoneMatch, h.hostsTag)
	if err := h.client.DoDeadline(request, answer, deadline); err != nil {
		return nil, NewUnansweredError("/hosts", err)
	}
	switch answer.StatusCode() {
	case fasthttp.StatusNotModified:
		return h.hosts, nil
	case fasthttp.StatusOK:
	default:
		return nil, NewUnansweredError("/hosts", fmt.Errorf("status %d", answer.StatusCode()))
	}
	var list struct {
		Hosts []Host `json:"hosts"`
	}
	if err := json.Unmarshal(answer.Body(), &list); err != nil {
		return nil, NewUnansweredError("/hosts", err)
	}
	h.hosts, h.hostsTag = list.Hosts, string(answer.Header.Peek(fasthttp.HeaderETag))
	return h.hosts, nil
}
