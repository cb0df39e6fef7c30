package httpwire

// IsToken reports whether b is a token (RFC 9110, section 5.6.2), such as the name of a field.
func IsToken(b []byte) bool {
	for _, c := range b {
		if !isTokenByte(c) {
			return false
		}
	}
	return len(b) > 0
}

func isTokenByte(b byte) bool { return tokenBytes[b] }

var tokenBytes = func() (set [256]bool) {
	for c := '0'; c <= '9'; c++ {
		set[c] = true
	}
	for c := 'a'; c <= 'z'; c++ {
		set[c], set[c-'a'+'A'] = true, true
	}
	for _, c := range "!#$%&'*+-.^_`|~" {
		set[c] = true
	}
	return set
}()
