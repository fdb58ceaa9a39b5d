// Package tools pins the versions of the linter and the code generators, which
// run as go tool.
package tools
