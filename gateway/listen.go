package gateway

import (
	"net"

	"github.com/gofiber/fiber/v3"

	"github.com/acaciaproxy/acaciaproxy/connlimiter"
)

// bodyCopies is how often a body is held: by the server, by the request, and as it is sent to a worker.
const bodyCopies = 3

// Serve accepts connections from the listener until Stop is called.
func (g *Gateway) Serve(listener net.Listener) error {
	settings := g.dependencies.Settings
	limited := g.limiter.Listen(listener, connlimiter.Port{
		Name: "callers", Connections: min(settings.MaxConnections(), g.limiter.MaxCallers()), HTTP: true, BodyLimit: settings.BodyLimit(), BodyCopies: bodyCopies,
	})
	return g.app.Listener(limited, fiber.ListenConfig{DisableStartupMessage: true})
}

// headLimits returns the limits of heads by the settings.
func (g *Gateway) headLimits() connlimiter.HeadLimits {
	settings := g.dependencies.Settings
	return connlimiter.HeadLimits{Bytes: settings.HeaderLimit(), HeadMS: settings.ReadTimeout().Milliseconds(), IdleMS: idleTimeout.Milliseconds()}
}

// Limiter returns the limiter of the connections of callers, by which those of others are limited too.
func (g *Gateway) Limiter() *connlimiter.Limiter { return g.limiter }
