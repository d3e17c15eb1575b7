package adminserver

import (
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/acaciaproxy/acaciaproxy/connlimiter"
)

// Limits of operators' requests, which have no bodies.
const (
	readTimeout = 10 * time.Second
	idleTimeout = 120 * time.Second
	headBytes   = 16 << 10
	bodyBytes   = 4 << 10
)

// newApp returns an application with the limits of operators' requests.
func newApp(name string) *fiber.App {
	app := fiber.New(fiber.Config{
		AppName: name, Immutable: true, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, ReadBufferSize: headBytes, BodyLimit: bodyBytes,
		ReduceMemoryUsage: true,
	})
	app.Server().ConnState = connlimiter.ObserveFastState
	return app
}

// Port returns the limits of the connections of operators.
func Port(limiter *connlimiter.Limiter) connlimiter.Port {
	return connlimiter.Port{Name: "operators", Connections: limiter.MaxOthers(), HTTP: true, BodyLimit: bodyBytes}
}
