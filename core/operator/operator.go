// Package operator validates and authenticates the operators that settings files list.
package operator

import (
	"crypto/subtle"
	"fmt"

	"flamingodrift.example/core/checker"
	"flamingodrift.example/core/loader"
)

// Operator is a person or program that may use the operators' API.
type Operator struct {
	Name  string `json:"name"`
	Token string `json:"token" secret:"true"`
}

// Check adds a problem for each invalid or duplicate name or token. They must be unique, because the history names the
// operator who made a change.
func Check(c *checker.Checker, operators []Operator) {
	names, tokens := map[string]bool{}, map[string]bool{}
	for i, o := range operators {
		path := fmt.Sprintf("operators[%d]", i)
		c.Text(path+".name", o.Name)
		c.Token(path+".token", o.Token)
		if names[o.Name] {
			c.AddProblem(path+".name", o.Name, "a name that is used once")
		}
		if tokens[o.Token] {
			c.AddProblem(path+".token", loader.Redacted, "a token that is used once")
		}
		names[o.Name], tokens[o.Token] = true, true
	}
}

// Find returns the name of the operator with the given token. It compares the token with those of all operators in
// constant time.
func Find(operators []Operator, token string) (name string, ok bool) {
	for _, o := range operators {
		if subtle.ConstantTimeCompare([]byte(token), []byte(o.Token)) == 1 {
			name, ok = o.Name, true
		}
	}
	return name, ok
}
