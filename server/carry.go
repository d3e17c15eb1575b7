package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/acaciaproxy/acaciaproxy/forwarder"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/platform"
	"github.com/acaciaproxy/acaciaproxy/prover"
)

// maxCarriers is the number of nodes that are asked to serve a request for this one.
const maxCarriers = 3

// carrierConnectTime bounds the time until there is a connection to such a node.
const carrierConnectTime = 200 * time.Millisecond

// maxPartBytes bounds the bytes of one part of a response.
const maxPartBytes = 64 << 10

// carry passes a request to another node, as forwarder.Dependencies describes. Requests are spread over the nodes that the leaders name.
func (f *FleetNode) carry(ctx context.Context, request *forwarder.Request, once bool, deadline time.Time, refused func(node string, untried bool) (askNext bool)) (*forwarder.Carried, error) {
	message := &nodewire.CarryRequest{
		Node: f.settings.Name(), Method: request.Method, Target: request.Target, Host: request.Host, Headers: newHeaders(platform.CarriedHeader(request, deadline)), Body: request.Body, Once: once,
	}
	if request.Tenant != "" {
		message.Tenant, message.Credential = request.Tenant, request.KeyDigest[:]
	}
	carriers := f.carriers.all(f.settings.Nodes())
	first := int(xxhash.Sum64String(request.ID) % uint64(max(len(carriers), 1)))
	asked := 0
	for i := range carriers {
		address := carriers[(first+i)%len(carriers)]
		if asked == maxCarriers || ctx.Err() != nil {
			break
		}
		if !f.peers.AwaitReady(time.Now().Add(carrierConnectTime), address) {
			continue // It may have ended; nothing was sent.
		}
		asked++
		response, untried, err := f.askCarrier(ctx, address, message)
		if err != nil {
			return &forwarder.Carried{Node: address}, err
		}
		if response != nil {
			return response, nil
		}
		if !refused(address, untried) {
			break
		}
	}
	return nil, forwarder.NewNotRunError(prover.Relayed(), "", forwarder.ReasonUnreachable, 0, nil)
}

// carrierList holds the addresses of nodes that reach workers, as the leaders name them. It is safe for concurrent use.
type carrierList struct {
	// mu guards byZone.
	mu sync.Mutex
	// byZone holds the addresses by the leader's zone, at most a few of each.
	byZone map[string][]string
}

// set records what the leader of a zone names.
func (c *carrierList) set(zone string, addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byZone == nil {
		c.byZone = map[string][]string{}
	}
	c.byZone[zone] = addresses
}

// all returns all addresses but one's own, in order.
func (c *carrierList) all(own string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	addresses := lo.Uniq(lo.Without(lo.Flatten(lo.Values(c.byZone)), own))
	slices.Sort(addresses)
	return addresses
}

// askCarrier passes a request to a node. The response is nil if the node has refused it, and untried set if it says that no worker got it; with an error, it may
// have run.
func (f *FleetNode) askCarrier(ctx context.Context, address string, message *nodewire.CarryRequest) (response *forwarder.Carried, untried bool, err error) {
	client, err := f.peers.FleetClient(address)
	if err != nil {
		return nil, true, nil // Nothing was sent.
	}
	ctx, cancel := context.WithCancel(ctx)
	stream, err := client.Carry(ctx, message)
	if err != nil {
		cancel()
		return nil, false, err
	}
	part, err := stream.Recv()
	if status.Code(err) == codes.Unimplemented || err == nil && part.GetRefused() {
		cancel()
		return nil, err != nil || part.GetUntried(), nil
	}
	if err != nil {
		cancel()
		return nil, false, err
	}
	header := http.Header{}
	for _, entry := range part.GetHeaders() {
		header[entry.GetName()] = entry.GetValues()
	}
	return &forwarder.Carried{Node: address, Status: int(part.GetStatus()), Header: header, Body: &carriedBody{stream: stream, cancel: cancel, unread: part.GetBody()}}, false, nil
}

func newHeaders(header http.Header) []*nodewire.Header {
	return lo.MapToSlice(header, func(name string, values []string) *nodewire.Header {
		return &nodewire.Header{Name: name, Values: values}
	})
}

// carriedBody is the body of a response that another node relays.
type carriedBody struct {
	stream nodewire.Fleet_CarryClient
	cancel context.CancelFunc
	// unread are bytes of the last part that have not been read.
	unread []byte
}

// Read implements io.Reader. It returns io.EOF only after the whole response.
func (b *carriedBody) Read(buffer []byte) (int, error) {
	for len(b.unread) == 0 {
		part, err := b.stream.Recv()
		if err != nil {
			return 0, err
		}
		b.unread = part.GetBody()
	}
	n := copy(buffer, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *carriedBody) Close() error {
	b.cancel()
	return nil
}

// carrierWriter sends the response to a carried request in parts.
type carrierWriter struct {
	stream nodewire.Fleet_CarryServer
	header http.Header
	// outcome says whether the request has been refused.
	outcome *forwarder.CarriedOutcome
	// headSent is set once the first part was sent.
	headSent bool
}

// Header implements http.ResponseWriter.
func (w *carrierWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *carrierWriter) WriteHeader(code int) { _ = w.sendHead(code) } // The next write fails too.

func (w *carrierWriter) sendHead(code int) error {
	if w.headSent {
		return nil
	}
	w.headSent = true
	w.header.Del("Connection") // It concerns the connection to this node.
	return w.stream.Send(&nodewire.CarryPart{Status: int32(code), Headers: newHeaders(w.header), Refused: w.outcome.Refused(), Untried: w.outcome.Untried()})
}

// Write implements http.ResponseWriter.
func (w *carrierWriter) Write(data []byte) (int, error) {
	if err := w.sendHead(http.StatusOK); err != nil {
		return 0, err
	}
	for sent := 0; sent < len(data); {
		piece := data[sent:min(len(data), sent+maxPartBytes)]
		if err := w.stream.Send(&nodewire.CarryPart{Body: slices.Clone(piece)}); err != nil {
			return sent, err
		}
		sent += len(piece)
	}
	return len(data), nil
}

// Flush implements http.Flusher; each write is sent at once.
func (w *carrierWriter) Flush() {}

// SetReadDeadline allows forwarder to limit the read of the body, which is in memory.
func (w *carrierWriter) SetReadDeadline(time.Time) error { return nil }

// serveCarried serves a request that another node passed on.
func (f *FleetNode) serveCarried(message *nodewire.CarryRequest, stream nodewire.Fleet_CarryServer) (err error) {
	r, err := platform.NewCarriedRequest(stream.Context(), message.GetMethod(), message.GetTarget(), message.GetHost(), message.GetBody())
	if err != nil {
		return status.Error(codes.InvalidArgument, err.Error())
	}
	for _, entry := range message.GetHeaders() {
		r.Header[entry.GetName()] = entry.GetValues()
	}
	w := &carrierWriter{stream: stream, header: http.Header{}, outcome: &forwarder.CarriedOutcome{}}
	defer func() {
		if cause := recover(); cause != nil {
			if abort, isError := cause.(error); !isError || !errors.Is(abort, http.ErrAbortHandler) {
				panic(cause)
			}
			err = status.Error(codes.Aborted, io.ErrUnexpectedEOF.Error())
		}
	}()
	credential := forwarder.NewCredential(message.GetTenant(), message.GetCredential())
	f.forwarder.ServeCarried(w, r, message.GetNode(), message.GetOnce(), credential, w.outcome)
	return w.sendHead(http.StatusOK)
}
