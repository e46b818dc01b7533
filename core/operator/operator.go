// Package operator describes who may use the operators' API, as the settings files list them.
package operator

import (
	"crypto/subtle"
	"fmt"

	"flamingodrift.example/core/checker"
	"flamingodrift.example/core/loader"
)

// Operator may use the operators' API.
type Operator struct {
	Name  string `json:"name"`
	Token string `json:"token" secret:"true"`
}

// Check refuses equal names and tokens: the history must name the operator who made a change.
func Check(c *checker.Checker, operators []Operator) {
	names, tokens := map[string]bool{}, map[string]bool{}
	for i, o := range operators {
		path := fmt.Sprintf("operators[%d]", i)
		c.Text(path+".name", o.Name)
		c.Token(path+".token", o.Token)
		if names[o.Name] {
			c.Fail(path+".name", o.Name, "a name that is used once")
		}
		if tokens[o.Token] {
			c.Fail(path+".token", loader.Redacted, "a token that is used once")
		}
		names[o.Name], tokens[o.Token] = true, true
	}
}

// Find returns the name of the operator with a token. It compares the token with that of every operator, in constant time.
func Find(operators []Operator, token string) (name string, ok bool) {
	for _, o := range operators {
		if subtle.ConstantTimeCompare([]byte(token), []byte(o.Token)) == 1 {
			name, ok = o.Name, true
		}
	}
	return name, ok
}
