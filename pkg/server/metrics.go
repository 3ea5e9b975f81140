package server

import (
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// RegisterMetrics adds the route at which the metrics of a registry are read.
func RegisterMetrics(e *echo.Echo, registry *prometheus.Registry) {
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(registry, promhttp.HandlerOpts{})))
}
