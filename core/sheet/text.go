package sheet

import (
	"bytes"
	"unicode/utf8"
)

var byteOrderMark = []byte("\xef\xbb\xbf")

// delimiter returns the field separator, determined from the first line that is not blank: spreadsheets use semicolons
// in locales with decimal commas.
func delimiter(data []byte) rune {
	for line := range bytes.Lines(data) {
		semicolons, commas := bytes.Count(line, []byte(";")), bytes.Count(line, []byte(","))
		switch {
		case len(bytes.Trim(line, ";, \t\r\n")) == 0:
			continue
		case semicolons > commas:
			return ';'
		default:
			return ','
		}
	}
	return ','
}

// findInvalidText returns the position of the first byte that is not valid UTF-8. U+FFFD counts as invalid too: JSON
// encoders substitute it for bytes that they cannot decode, and a command must not be run with such a substitution.
func findInvalidText(data []byte) (line, col int, found bool) {
	line, col = 1, 1
	for len(data) > 0 {
		r, size := utf8.DecodeRune(data)
		switch r {
		case utf8.RuneError:
			return line, col, true
		case '\n':
			line, col = line+1, 1
		default:
			col += size
		}
		data = data[size:]
	}
	return 0, 0, false
}

// byteAt returns the byte at a line and column, both counted from 1; 0 outside the data.
func byteAt(data []byte, line, col int) byte {
	for text := range bytes.Lines(data) {
		if line--; line == 0 && col <= len(text) {
			return text[col-1]
		}
	}
	return 0
}
