package router

import "net/http"

// PathOf returns the decoded and the escaped path of a service's call, and
// whether it is refused.
func PathOf(req *http.Request) (plain, escaped string, refused bool) {
	path, failed := pathOf(req)
	return path.plain, path.escaped, failed != nil
}
