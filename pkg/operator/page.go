package operator

import (
	"embed"
	"net/http"

	"github.com/labstack/echo/v4"
)

//go:embed page
var pageFiles embed.FS

// contentSecurityPolicy lets the page load only files of this server.
const contentSecurityPolicy = "default-src 'self'; frame-ancestors 'none'"

// registerPage adds the routes of the operators' page. Its files contain no data and need
// no token; the page prompts for the operators' token and calls the API with it.
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
		c.Response().Header().Set("Content-Security-Policy", contentSecurityPolicy)
		http.ServeFileFS(c.Response(), c.Request(), pageFiles, file)
		return nil
	}
}
