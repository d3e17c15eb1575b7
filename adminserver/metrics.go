package adminserver

import (
	"github.com/gofiber/fiber/v3"

	"github.com/acaciaproxy/acaciaproxy/forwarder"
	"github.com/acaciaproxy/acaciaproxy/recorder"
)

// Where answers GET /where; get returns a parameter of the query, and an empty text for one that is missing. An error means that the query is
// invalid.
type Where func(get func(name string) string) (forwarder.Whereabouts, error)

// NewMetrics returns a server that serves only health checks, metrics and where requests would go, and requires no token.
func NewMetrics(where Where) *Server {
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
	s.app.Get("/where", func(c fiber.Ctx) error {
		answer, err := where(func(name string) string { return c.Query(name) })
		if err != nil {
			return c.Status(fiber.StatusBadRequest).JSON(map[string]string{"error": err.Error()})
		}
		return c.JSON(answer)
	})
	return s
}
