package bounded

// LimitNesting returns the JSON text with each array and object that is nested
// deeper than maxDepth replaced by null. The decoder of the standard library
// rejects a whole text in which one value is nested too deep, so that one odd
// entry of a list would hide the others.
func LimitNesting(text []byte, maxDepth int) []byte {
	var kept []byte
	// copied is the end of the text that kept holds so far.
	copied := 0
	depth, inString := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case inString:
			if c == '\\' {
				i++
			}
			inString = c != '"'
		case c == '"':
			inString = true
		case c == '{' || c == '[':
			if depth++; depth == maxDepth+1 {
				kept = append(append(kept, text[copied:i]...), "null"...)
			}
		case c == '}' || c == ']':
			if depth--; depth == maxDepth {
				copied = i + 1
			}
		}
	}
	if depth > maxDepth || kept == nil {
		// Nothing is nested too deep, or the text ends within a value and is no JSON.
		return text
	}
	return append(kept, text[copied:]...)
}
