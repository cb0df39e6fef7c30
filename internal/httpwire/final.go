package httpwire

import (
	"fmt"
	"net/http"
	"strings"
)

// CheckFinal checks the status and the fields of a final response that has come by another
// protocol. The error is a MalformedError.
func CheckFinal(status int, fields http.Header) error {
	if status < http.StatusOK || status > maxStatus {
		return &MalformedError{Reason: fmt.Sprintf("status code %d is not from 200 to 599", status)}
	}
	for name, values := range fields {
		if !IsToken([]byte(name)) {
			return &MalformedError{Reason: fmt.Sprintf("invalid field name: %q", quotable(name))}
		}
		for _, value := range values {
			if strings.ContainsFunc(value, func(r rune) bool { return r < 0x80 && isControl(byte(r)) }) {
				return &MalformedError{Reason: fmt.Sprintf("control character in the value of field %s: %q", name, quotable(value))}
			}
		}
	}
	return nil
}

func quotable(text string) string { return text[:min(len(text), maxQuoted)] }
