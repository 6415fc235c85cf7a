package router

import "net/http"

// ParseServicePath returns the decoded and the escaped path of a service call and
// reports whether the path is rejected.
func ParseServicePath(req *http.Request) (decoded, escaped string, rejected bool) {
	path, apiErr := parseServicePath(req)
	return path.decoded, path.escaped, apiErr != nil
}
