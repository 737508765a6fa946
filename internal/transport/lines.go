package transport

import (
	"bytes"
	"encoding/json"

	"daledyke/internal/protocol"
)

// errorBody is the body of a response that reports an error.
type errorBody struct {
	Error string `json:"error"`
}

// breakLines returns a JSON text with each value on a line of its own if it is longer than protocol.MaxLine, the
// limit for lines of responses to workers and users.
func breakLines(raw []byte) []byte {
	if len(raw) <= protocol.MaxLine {
		return raw
	}
	var broken bytes.Buffer
	if json.Indent(&broken, raw, "", "") != nil {
		return raw // not JSON, so not made by reply
	}
	return broken.Bytes()
}
