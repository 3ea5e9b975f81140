// Package httpclient builds the transports of HTTP calls to other processes.
package httpclient

import "net/http"

// MaxHeaderBytes limits the header of a response. Servers and proxies commonly allow 8 to
// 64 KiB, the default transport 10 MiB.
const MaxHeaderBytes = 64 << 10

// maxStatus is the highest status code of HTTP.
const maxStatus = 599

// IsStatus reports whether a number is a status code of HTTP. What has another one is no response.
func IsStatus(code int) bool { return code >= http.StatusContinue && code <= maxStatus }

// NewTransport returns a transport with the defaults of net/http and limited headers.
func NewTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.MaxResponseHeaderBytes = MaxHeaderBytes
	return t
}
