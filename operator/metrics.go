package operator

import (
	"github.com/gofiber/fiber/v3"

	"github.com/acaciaproxy/acaciaproxy/recorder"
)

// NewMetrics returns an operator interface that serves only health checks and metrics, without a token.
func NewMetrics() *Operator {
	o := &Operator{app: fiber.New(fiber.Config{AppName: "acaciaproxy metrics", Immutable: true})}
	o.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok") })
	o.app.Get("/metrics", func(c fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, fiber.MIMETextPlain)
		return c.SendString(recorder.MetricsText())
	})
	o.app.Get("/debug/vars", func(c fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
		return c.Send(recorder.ExpvarJSON())
	})
	return o
}
