package target

import "strings"

// Bounds of names that daemons can use though operators may not declare them, in bytes.
// Names of services and accounts travel in header fields, for which a daemon leaves room
// beside those of the caller.
const (
	MaxServiceNameLength = 128
	MaxAccountNameLength = 1024
)

// ValidName reports whether operators may give a service, class or client this name.
func ValidName(name string) bool {
	if len(name) == 0 || len(name) > MaxNameLength {
		return false
	}
	for i := 0; i < len(name); i++ {
		c := name[i]
		letter := c >= 'a' && c <= 'z'
		other := (c >= '0' && c <= '9') || c == '-'
		if !letter && (i == 0 || !other) {
			return false
		}
	}
	return true
}

// ValidHost reports whether operators may give a service or a virtual host this name: a
// valid name, or labels joined by dots, where a label may start with a digit.
func ValidHost(name string) bool {
	if ValidName(name) {
		return true
	}
	if len(name) > MaxHostLength || !strings.Contains(name, ".") {
		return false
	}
	for label := range strings.SplitSeq(name, ".") {
		if !validLabel(label) {
			return false
		}
	}
	return true
}

func validLabel(label string) bool {
	if len(label) == 0 || len(label) > MaxNameLength {
		return false
	}
	for i := 0; i < len(label); i++ {
		c := label[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}

// UsableHost reports whether callers can name a service or virtual host so: by a host name
// in lower case, without a port.
func UsableHost(name string) bool {
	if len(name) == 0 || len(name) > MaxHostLength {
		return false
	}
	for i := 0; i < len(name); i++ {
		c := name[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '.' && c != '_' {
			return false
		}
	}
	return true
}

// UsableService reports whether daemons can use a service of this name.
func UsableService(name string) bool { return len(name) <= MaxServiceNameLength && usableInField(name) }

// UsableAccount reports whether daemons can use an account of this name.
func UsableAccount(name string) bool { return len(name) <= MaxAccountNameLength && usableInField(name) }

// usableInField reports whether a name arrives unchanged as the value of a header field.
func usableInField(name string) bool {
	if name == "" || strings.Trim(name, " ") != name {
		return false
	}
	for i := 0; i < len(name); i++ {
		if c := name[i]; c < ' ' || c == 0x7f {
			return false
		}
	}
	return true
}
