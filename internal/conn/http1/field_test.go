package http1_test

import "testing"

// A line of the header that readers may take for different fields is refused when it arrives.
func TestMalformedFieldIsRefusedAtOnce(t *testing.T) {
	for _, line := range []string{
		"Field : 1", "Field\t: 1", " Field: 1", "\tField: 1", "Fi eld: 1", "Fi\x00eld: 1", "Fi\x1feld: 1", "Fi\x7feld: 1", "Field\r: 1", "Fi\xc3\xa9ld: 1",
		": 1", "Field", "(Field): 1", " ", "\r", "Field: a\x00b", "Field: a\rb", "Field: a\x7fb",
	} {
		checkRefused(t, "HTTP/1.1 200 OK\r\nFirst: 1\r\n"+line+"\r\n")
		checkRefused(t, "HTTP/1.1 200 OK\r\n"+line+"\r\n")
	}
}

// A body whose length is stated in two ways is refused.
func TestAmbiguousLengthIsRefused(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\ntransfer-encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n\r\n",
	} {
		checkRefused(t, head)
	}
}
