package upstream

import (
	"bytes"

	"lichenshelf/logic"
)

// parseReport parses a worker's load report. It returns the previous report if there is no new one
// or it can't be parsed.
func (c *Client) parseReport(previous logic.Load, text []byte) logic.Load {
	if len(text) == 0 || c.cfg.Report == nil {
		return previous
	}
	l, err := c.cfg.Report(string(text))
	if err != nil {
		c.cfg.Counters.Add("reports_unreadable", 1)
		return previous
	}
	c.cfg.Counters.Add("reports_read", 1)
	return l
}

// lastComment returns the value of the last comment line in a stream's tail that holds the named
// header. Incomplete lines are skipped: a truncated number would pass for a whole one.
func lastComment(tail []byte, header string) []byte {
	if header == "" {
		return nil
	}
	mark := append([]byte(": "+header), ':')
	for end := bytes.LastIndexByte(tail, '\n'); end >= 0; {
		start := bytes.LastIndexByte(tail[:end], '\n') + 1
		line := tail[start:end]
		if len(line) >= len(mark) && bytes.EqualFold(line[:len(mark)], mark) {
			return bytes.TrimSpace(line[len(mark):])
		}
		if start == 0 {
			break // the tail's first line may lack its beginning
		}
		end = start - 1
	}
	return nil
}
