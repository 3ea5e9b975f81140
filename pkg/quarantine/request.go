package quarantine

import (
	"slices"
	"strings"
)

// Prefixes of parts that stand for whole requests. IDs of parts of prompts are hexadecimal.
const (
	wholePrefix    = "request:"
	repeatedPrefix = "request-with-parts:"
)

// WholeRequest returns the part that stands for everything of a request which names no parts,
// given its fingerprint. It recognises the request when it is sent again.
func WholeRequest(fingerprint string) string { return wholePrefix + fingerprint }

// RepeatedRequest returns the part that stands for everything of a request which names parts. It
// counts only once upstreams have ended at several times under the same request: one end is
// better explained by a part that the request shares with others.
func RepeatedRequest(fingerprint string) string { return repeatedPrefix + fingerprint }

// IsWholeRequest reports whether a part stands for everything of a request.
func IsWholeRequest(part string) bool {
	return strings.HasPrefix(part, wholePrefix) || isRepeatedRequest(part)
}

func isRepeatedRequest(part string) bool { return strings.HasPrefix(part, repeatedPrefix) }

// isShared reports whether a part may be in other requests.
func isShared(part string) bool { return !IsWholeRequest(part) }

// hasShared reports whether any of the parts may be in other requests.
func hasShared(parts []string) bool { return slices.ContainsFunc(parts, isShared) }

// subject names a part in the detail of a refusal. The reasons that follow call it "it".
func subject(part string) string {
	if IsWholeRequest(part) {
		_, fingerprint, _ := strings.Cut(part, ":")
		return "the request " + fingerprint
	}
	return "part " + part + " of the prompt"
}
