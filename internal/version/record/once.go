package record

import "strings"

// RunsAtMostOnce reports whether a call of the service must not run more than
// once.
func (s *Service) RunsAtMostOnce(method, path string) bool {
	for _, pattern := range s.NotRepeatable {
		wantMethod, wantPath, _ := strings.Cut(pattern, " ")
		prefix, wildcard := strings.CutSuffix(wantPath, "*")
		if method != wantMethod {
			continue
		}
		if path == wantPath || (wildcard && strings.HasPrefix(path, prefix)) {
			return true
		}
	}
	return false
}
