package router

import (
	"net/http"
	"net/url"
	"strings"
	"unicode/utf8"

	"cactusline.dev/cactusline/internal/conn/httpd"
)

// servicePath is the path of a service's call below its name.
type servicePath struct {
	// plain is decoded, for matching.
	plain string
	// escaped is as the caller wrote it, for the service.
	escaped string
}

// pathOf returns the path of a service's call. One that a service might read
// as another path than the router does is refused: what runs at most once
// must not get by under another spelling.
func pathOf(req *http.Request) (servicePath, *httpd.Error) {
	escaped := strings.TrimPrefix(req.URL.EscapedPath(), "/services/")
	_, escaped, _ = strings.Cut(escaped, "/")
	path := servicePath{escaped: "/" + escaped}
	plain, err := url.PathUnescape(path.escaped)
	if err != nil || !utf8.ValidString(plain) || !utf8.ValidString(req.URL.RawQuery) {
		return servicePath{}, refusal(http.StatusBadRequest, codeInvalid, "the path or query is not well formed")
	}
	path.plain = plain
	for _, segment := range strings.Split(strings.TrimSuffix(strings.TrimPrefix(plain, "/"), "/"), "/") {
		if segment == "." || segment == ".." || (segment == "" && plain != "/") {
			return servicePath{}, refusal(http.StatusBadRequest, codeInvalid, "the path has empty or dot segments")
		}
	}
	if strings.ContainsAny(plain, "\\\x00") {
		return servicePath{}, refusal(http.StatusBadRequest, codeInvalid, "the path has a backslash or a zero byte")
	}
	return path, nil
}
