package upstream

import (
	"bytes"

	"lichenshelf/logic"
)

// report reads a worker's load report and returns what holds from now on: the one
// before if there is no new one, or none that can be read.
func (c *Client) report(before logic.Load, text []byte) logic.Load {
	if len(text) == 0 || c.cfg.Report == nil {
		return before
	}
	l, err := c.cfg.Report(string(text))
	if err != nil {
		c.cfg.Counters.Add("reports_unreadable", 1)
		return before
	}
	c.cfg.Counters.Add("reports_read", 1)
	return l
}

// commentIn finds the last comment line of a stream's end that holds the named
// header, and returns its value. A line that is cut off is none: half a number
// would pass for a whole one.
func commentIn(tail []byte, header string) []byte {
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
			break // the first line of the tail may have lost its beginning
		}
		end = start - 1
	}
	return nil
}
