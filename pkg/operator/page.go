package operator

import (
	"embed"
	"net/http"

	"github.com/labstack/echo/v4"
)

//go:embed page
var pageFiles embed.FS

// pagePolicy lets the page load nothing but its own files.
const pagePolicy = "default-src 'self'; frame-ancestors 'none'"

// registerPage adds the operators' page. It holds no data; it asks for the
// operators' token and calls the API with it.
func registerPage(e *echo.Echo) {
	for path, file := range map[string]string{
		"/":                  "page/index.html",
		"/operator/":         "page/index.html",
		"/operator/page.js":  "page/page.js",
		"/operator/page.css": "page/page.css",
	} {
		e.GET(path, servePage(file))
	}
}

func servePage(file string) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Header().Set("Content-Security-Policy", pagePolicy)
		http.ServeFileFS(c.Response(), c.Request(), pageFiles, file)
		return nil
	}
}
