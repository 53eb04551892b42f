package policy

import (
	"github.com/go-faster/errors"
	"go.starlark.net/syntax"
)

// functions are those that an expression may call; predicates are the ones among them that
// take one string.
var (
	functions  = map[string]bool{"min": true, "max": true, "abs": true, "label": true, "zone": true, "rack": true}
	predicates = map[string]bool{"label": true, "zone": true, "rack": true}
)

// fields are those that an expression may read, by object.
var fields = map[string]map[string]bool{
	"runner": {"freeCores": true, "freeMemMb": true, "cores": true, "memMb": true, "running": true, "good": true, "bad": true},
	"task":   {"cores": true, "memMb": true, "urgency": true, "defects": true, "members": true},
}

// operators are the permitted ones: none of them can build values of unbounded size.
var operators = map[syntax.Token]bool{
	syntax.PLUS:       true,
	syntax.MINUS:      true,
	syntax.STAR:       true,
	syntax.SLASHSLASH: true,
	syntax.SLASH:      true,
	syntax.LT:         true,
	syntax.LE:         true,
	syntax.GT:         true,
	syntax.GE:         true,
	syntax.EQL:        true,
	syntax.NEQ:        true,
	syntax.AND:        true,
	syntax.OR:         true,
}

// checkExpr rejects expressions that could build values of unbounded size or read anything
// besides Inputs. It returns the first error.
func checkExpr(expr syntax.Expr) error {
	c := &checker{}
	syntax.Walk(expr, c.visit)
	return c.err
}

// checker walks an expression and records the first error.
type checker struct {
	err error
}

// reject records an error unless there is one already. It returns false, so that the walk
// skips the node's children.
func (c *checker) reject(n syntax.Node, reason string) bool {
	if c.err == nil {
		start, _ := n.Span()
		c.err = errors.Errorf("policy:%d:%d: %s", start.Line, start.Col, reason)
	}
	return false
}

const reasonString = "text is only for label(), zone() and rack()"

// visit checks one node and reports whether the walk continues with its children.
func (c *checker) visit(n syntax.Node) bool {
	switch n := n.(type) {
	case nil, *syntax.ParenExpr, *syntax.UnaryExpr, *syntax.CondExpr:
		return true
	case *syntax.BinaryExpr:
		if !operators[n.Op] {
			return c.reject(n, "operator "+n.Op.String()+" is not for policies")
		}
		return true
	case *syntax.Literal:
		if n.Token != syntax.INT && n.Token != syntax.FLOAT {
			return c.reject(n, reasonString)
		}
		return true
	case *syntax.DotExpr:
		object, ok := n.X.(*syntax.Ident)
		if !ok || !fields[object.Name][n.Name.Name] {
			return c.reject(n, "no such field")
		}
		return false
	case *syntax.CallExpr:
		return c.visitCall(n)
	case *syntax.Ident:
		if n.Name != "True" && n.Name != "False" {
			return c.reject(n, "unknown name "+n.Name)
		}
		return true
	}
	return c.reject(n, "not for policies: want one expression of runner's and task's fields")
}

// visitCall checks a call and walks its arguments itself, because visit would reject the
// function's name and the string argument of a predicate as values.
func (c *checker) visitCall(call *syntax.CallExpr) bool {
	function, ok := call.Fn.(*syntax.Ident)
	if !ok || !functions[function.Name] {
		return c.reject(call, "only min, max, abs, label, zone and rack may be called")
	}
	for _, argument := range call.Args {
		literal, ok := argument.(*syntax.Literal)
		isString := ok && literal.Token == syntax.STRING
		switch {
		case predicates[function.Name] && !isString:
			return c.reject(call, function.Name+"() wants one word in quotes")
		case isString && !predicates[function.Name]:
			return c.reject(call, reasonString)
		case !isString:
			syntax.Walk(argument, c.visit)
		}
	}
	return false
}
