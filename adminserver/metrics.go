package adminserver

import (
	"github.com/gofiber/fiber/v3"

	"github.com/acaciaproxy/acaciaproxy/recorder"
)

// NewMetrics returns a server that serves only health checks and metrics, and requires no token.
func NewMetrics() *Server {
	s := &Server{app: newApp("acaciaproxy metrics")}
	s.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok") })
	s.app.Get("/metrics", func(c fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, fiber.MIMETextPlain)
		return c.SendString(recorder.MetricsText())
	})
	s.app.Get("/debug/vars", func(c fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
		return c.Send(recorder.ExpvarJSON())
	})
	return s
}
