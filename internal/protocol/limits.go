package protocol

import "strings"

// Limits on the size of messages, in bytes.
const (
	// MaxBody limits a request body, and so a worker's report and the commands that are sent directly to it.
	MaxBody = 64 << 10
	// MaxLine limits a line of a response to workers and users.
	MaxLine = 64 << 10
)

// Limits that keep the messages between controllers and workers within MaxBody and MaxLine. A report lists all tasks on
// the machine, so the tasks that may be on a machine are limited with them.
const (
	// maxEntryBytes is what one task takes in a report, or one command: with the longest names and numbers, every
	// field and a space after each separator.
	maxEntryBytes = 128
	// maxEnvelopeBytes is what the rest of a message takes.
	maxEnvelopeBytes = 1536
	// MaxTasksPerMachine limits the tasks on a machine, exited ones included.
	MaxTasksPerMachine = (MaxBody - maxEnvelopeBytes) / maxEntryBytes
	// MaxCommands limits the commands in one message to a worker.
	MaxCommands = MaxTasksPerMachine
)

// maxEscapedBytes is what JSON makes of one byte of text at most.
const maxEscapedBytes = 6

// maxQuotedBytes limits text of any length, such as a part of a request, where a response quotes it. Escaped it takes
// less than a line.
const maxQuotedBytes = (MaxLine - maxEnvelopeBytes) / maxEscapedBytes

// Shorten cuts a text that a response quotes, so that no line of the response exceeds MaxLine.
func Shorten(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "..."
}
