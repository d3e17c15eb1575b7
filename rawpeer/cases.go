package rawpeer

import (
	"fmt"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/casereader"
)

// cases is the content of a data file of Check.
type cases struct {
	Count int
	// Headers are sent with all requests.
	Headers  map[string]string
	Requests []struct {
		Name, Path   string
		Header, Body int
		Chunks       int
		PauseMS      int `json:"pause_ms"`
		// Headers are sent with this request only.
		Headers map[string]string
		// Status is that of the wanted response; Code is a text in its body.
		Status int
		Code   string
	}
}

// defaultPath is the path of a request that names none.
const defaultPath = "/v1/completions"

// maxBytesAtOnce bounds the bytes of the requests that are written at the same time.
const maxBytesAtOnce = 400 << 20

// Check sends each request of a data file as often as the file says, and returns a line for each request some of whose responses were lost
// or were others than the file wants.
func Check(address, host, file string) ([]string, error) {
	var content cases
	if err := casereader.Read(file, &content); err != nil {
		return nil, err
	}
	var failures []string
	for _, wanted := range content.Requests {
		request := Request{
			Path: defaultPath, Host: host, Headers: lo.Assign(content.Headers, wanted.Headers), HeaderBytes: wanted.Header, BodyBytes: wanted.Body, Chunks: wanted.Chunks,
			Pause: time.Duration(wanted.PauseMS) * time.Millisecond,
		}
		if wanted.Path != "" {
			request.Path = wanted.Path
		}
		concurrency := min(content.Count, max(maxBytesAtOnce/max(wanted.Header+wanted.Body, 1), 1))
		responses, errs := SendMany(address, request, content.Count, concurrency)
		if len(errs) > 0 {
			failures = append(failures, fmt.Sprintf("%s: %d of %d responses lost; the first: %v", wanted.Name, len(errs), content.Count, errs[0]))
		}
		for _, response := range responses {
			if response.Status != wanted.Status || !strings.Contains(response.Body, wanted.Code) {
				failures = append(failures, fmt.Sprintf("%s: status %d, body %q; want %d, %q", wanted.Name, response.Status, response.Body, wanted.Status, wanted.Code))
				break
			}
		}
	}
	return failures, nil
}
