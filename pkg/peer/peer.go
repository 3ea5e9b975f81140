// Package peer holds what the system's own processes share to call each other:
// the check of the shared secret and the client of agents.
package peer

import (
	"crypto/subtle"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/acaciaglade/acaciaglade/pkg/api"
)

// RequireToken refuses calls that don't carry the shared secret.
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
