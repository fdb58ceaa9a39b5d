// Package tools pins the versions of the linter and the code generators. They are
// run with "go tool".
package tools
