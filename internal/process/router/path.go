package router

import (
	"net/http"
	"net/url"
	"strings"
	"unicode/utf8"

	"cactusline.dev/cactusline/internal/conn/httpd"
)

// servicePath is the part of a service call's path after the service name.
type servicePath struct {
	// decoded is the percent-decoded path, used for matching.
	decoded string
	// escaped is the path as the caller sent it, forwarded to the service.
	escaped string
}

// parseServicePath returns the path of a service call. It rejects paths that a
// service may interpret differently from the router, because a call that must run at
// most once could otherwise bypass that rule by a different spelling of its path.
func parseServicePath(req *http.Request) (servicePath, *httpd.Error) {
	escaped := strings.TrimPrefix(req.URL.EscapedPath(), "/services/")
	_, escaped, _ = strings.Cut(escaped, "/")
	path := servicePath{escaped: "/" + escaped}
	decoded, err := url.PathUnescape(path.escaped)
	if err != nil || !utf8.ValidString(decoded) || !utf8.ValidString(req.URL.RawQuery) {
		return servicePath{}, notRunError(http.StatusBadRequest, codeInvalidRequest, "the path or query is malformed")
	}
	path.decoded = decoded
	for _, segment := range strings.Split(strings.TrimSuffix(strings.TrimPrefix(decoded, "/"), "/"), "/") {
		if segment == "." || segment == ".." || (segment == "" && decoded != "/") {
			return servicePath{}, notRunError(http.StatusBadRequest, codeInvalidRequest, "the path contains empty or dot segments")
		}
	}
	if strings.ContainsAny(decoded, "\\\x00") {
		return servicePath{}, notRunError(http.StatusBadRequest, codeInvalidRequest, "the path contains a backslash or a null byte")
	}
	return path, nil
}
