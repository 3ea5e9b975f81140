// Package peer implements the calls between the system's own processes: the check of
// the shared secret, and the clients of agents and entries.
package peer

import (
	"crypto/subtle"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// RequireToken returns middleware that responds with status 401 to requests without the
// shared secret.
func RequireToken(token string) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			got := c.Request().Header.Get(api.HeaderPeerToken)
			if subtle.ConstantTimeCompare([]byte(got), []byte(token)) != 1 {
				return c.NoContent(http.StatusUnauthorized)
			}
			return next(c)
		}
	}
}
