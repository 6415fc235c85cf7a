package record

import "strings"

// RunsAtMostOnce reports whether a call of the service may run at most once.
func (s *Service) RunsAtMostOnce(method, path string) bool {
	for _, pattern := range s.NotRepeatable {
		wantMethod, wantPath, _ := strings.Cut(pattern, " ")
		prefix, open := strings.CutSuffix(wantPath, "*")
		if method != wantMethod {
			continue
		}
		if path == wantPath || (open && strings.HasPrefix(path, prefix)) {
			return true
		}
	}
	return false
}
