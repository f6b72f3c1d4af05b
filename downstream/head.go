package downstream

import (
	"bytes"
	"errors"
	"strings"

	"github.com/valyala/fasthttp"
)

var errHead = errors.New("the request's head can be read in more than one way")

// checkHead refuses heads that the server accepts but that other parties on the way may parse
// differently. Otherwise the body seen by one of them could be a second request to the next
// (request smuggling).
func checkHead(h *fasthttp.RequestHeader) error {
	if v := string(h.Protocol()); v != "HTTP/1.1" && v != "HTTP/1.0" {
		return errHead
	}
	var lengths, encodings int
	for line := range bytes.Lines(h.RawHeaders()) {
		text, crlf := strings.CutSuffix(string(line), "\r\n")
		if !crlf || strings.ContainsAny(text, "\r\x00") {
			return errHead
		}
		if text == "" {
			continue
		}
		name, value, ok := strings.Cut(text, ":")
		if !ok || !token(name) {
			return errHead // also a folded line
		}
		switch value = strings.Trim(value, " \t"); strings.ToLower(name) {
		case "content-length":
			lengths++
			if strings.Trim(value, "0123456789") != "" || value == "" {
				return errHead
			}
		case "transfer-encoding":
			encodings++
			if !strings.EqualFold(value, "chunked") {
				return errHead
			}
		}
	}
	if lengths+encodings > 1 {
		return errHead
	}
	return nil
}

// token reports whether s is a valid header name.
func token(s string) bool {
	for _, c := range []byte(s) {
		alphanumeric := c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		if !alphanumeric && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return s != ""
}
