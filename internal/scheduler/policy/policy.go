// Package policy runs the small expressions that operators keep in the table's
// policy cells. One expression scores one runner for one task; it sees plain
// numbers and may ask for labels and zones, and nothing else: no loops, no
// names of its own, no text to build, no I/O, time or chance. Starlark parses
// and evaluates it, under a cap on steps.
package policy

import (
	"github.com/go-faster/errors"
	"go.starlark.net/starlark"
	"go.starlark.net/starlarkstruct"
	"go.starlark.net/syntax"
)

const (
	// MaxSourceBytes bounds the source of a policy, in bytes.
	MaxSourceBytes = 1024
	// MaxSteps bounds the steps of the interpreter for scoring one runner.
	MaxSteps = 2000
)

// Inputs is what a policy may know of a runner and of the task it is scored for.
type Inputs struct {
	FreeCores, FreeMem, Cores, Mem, Running, RunnerSuccesses, RunnerDefects int64
	Labels                                                                  map[string]bool
	Zone, Rack                                                              string
	NeedCores, NeedMem, Urgency, Defects, Members                           int64
}

// Policy is a compiled scoring expression.
type Policy struct {
	score starlark.Callable
}

var plain = map[string]bool{"min": true, "max": true, "abs": true, "label": true, "zone": true, "rack": true}

// asks are those that take one word.
var asks = map[string]bool{"label": true, "zone": true, "rack": true}

var fields = map[string]map[string]bool{
	"runner": {"freeCores": true, "freeMemMb": true, "cores": true, "memMb": true, "running": true, "good": true, "bad": true},
	"task":   {"cores": true, "memMb": true, "urgency": true, "defects": true, "members": true},
}

var dialect = &syntax.FileOptions{}

// Compile checks a source and makes it ready. What is wrong is told with its
// line and column.
func Compile(text string) (*Policy, error) {
	if len(text) > MaxSourceBytes {
		return nil, errors.Errorf("longer than %d bytes", MaxSourceBytes)
	}
	expr, err := dialect.ParseExpr("policy", text, 0)
	if err != nil {
		return nil, err
	}
	if err = allowed(expr); err != nil {
		return nil, err
	}
	globals, err := starlark.ExecFileOptions(dialect, &starlark.Thread{Name: "compile"}, "policy",
		"score = lambda runner, task, label, zone, rack: (\n"+text+"\n)", nil)
	if err != nil {
		return nil, err
	}
	score, ok := globals["score"].(starlark.Callable)
	if !ok {
		return nil, errors.New("not an expression")
	}
	return &Policy{score: score}, nil
}

// allowed walks the expression and refuses whatever could grow without bound
// or know too much.
func allowed(expr syntax.Expr) error {
	var err error
	refuse := func(n syntax.Node, why string) bool {
		if err == nil {
			at, _ := n.Span()
			err = errors.Errorf("policy:%d:%d: %s", at.Line, at.Col, why)
		}
		return false
	}
	syntax.Walk(expr, func(n syntax.Node) bool {
		switch n := n.(type) {
		case nil, *syntax.ParenExpr, *syntax.UnaryExpr, *syntax.CondExpr:
			return true
		case *syntax.BinaryExpr:
			switch n.Op {
			case syntax.PLUS, syntax.MINUS, syntax.STAR, syntax.SLASHSLASH, syntax.SLASH, syntax.LT, syntax.LE, syntax.GT, syntax.GE, syntax.EQL, syntax.NEQ, syntax.AND, syntax.OR:
				return true
			}
			return refuse(n, "operator "+n.Op.String()+" is not for policies")
		case *syntax.Literal:
			if n.Token == syntax.INT || n.Token == syntax.FLOAT {
				return true
			}
			return refuse(n, "text is only for label(), zone() and rack()")
		case *syntax.DotExpr:
			of, ok := n.X.(*syntax.Ident)
			if !ok || !fields[of.Name][n.Name.Name] {
				return refuse(n, "no such field")
			}
			return false
		case *syntax.CallExpr:
			name, ok := n.Fn.(*syntax.Ident)
			if !ok || !plain[name.Name] {
				return refuse(n, "only min, max, abs, label, zone and rack may be called")
			}
			for _, arg := range n.Args {
				lit, ok := arg.(*syntax.Literal)
				word := ok && lit.Token == syntax.STRING
				switch {
				case asks[name.Name] && !word:
					return refuse(n, name.Name+"() wants one word in quotes")
				case word && !asks[name.Name]:
					return refuse(n, "text is only for label(), zone() and rack()")
				case !word && err == nil:
					err = allowed(arg)
				}
			}
			return false
		case *syntax.Ident:
			if n.Name == "True" || n.Name == "False" {
				return true
			}
			return refuse(n, "unknown name "+n.Name)
		}
		return refuse(n, "not for policies: want one expression of runner's and task's fields")
	})
	return err
}

func ask(name string, has func(word string) (yes bool)) *starlark.Builtin {
	return starlark.NewBuiltin(name, func(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
		if len(args) != 1 {
			return nil, errors.Errorf("%s() wants one word", name)
		}
		word, ok := starlark.AsString(args[0])
		if !ok {
			return nil, errors.Errorf("%s() wants one word", name)
		}
		return starlark.Bool(has(word)), nil
	})
}

func record(list map[string]int64) *starlarkstruct.Struct {
	d := starlark.StringDict{}
	for name, n := range list {
		d[name] = starlark.Float(n)
	}
	return starlarkstruct.FromStringDict(starlarkstruct.Default, d)
}

// Score evaluates the policy: higher is better. A failure, or running over
// the cap, is an error; the caller falls back to its own choice.
func (p *Policy) Score(f Inputs) (float64, error) {
	thread := &starlark.Thread{Name: "policy"}
	thread.SetMaxExecutionSteps(MaxSteps)
	args := starlark.Tuple{
		record(map[string]int64{"freeCores": f.FreeCores, "freeMemMb": f.FreeMem, "cores": f.Cores, "memMb": f.Mem, "running": f.Running, "good": f.RunnerSuccesses, "bad": f.RunnerDefects}),
		record(map[string]int64{"cores": f.NeedCores, "memMb": f.NeedMem, "urgency": f.Urgency, "defects": f.Defects, "members": f.Members}),
		ask("label", func(w string) bool { return f.Labels[w] }),
		ask("zone", func(w string) bool { return f.Zone == w }),
		ask("rack", func(w string) bool { return f.Rack == w }),
	}
	v, err := starlark.Call(thread, p.score, args, nil)
	if err != nil {
		return 0, err
	}
	switch v := v.(type) {
	case starlark.Bool:
		if v {
			return 1, nil
		}
		return 0, nil
	case starlark.Int, starlark.Float:
		n, ok := starlark.AsFloat(v)
		if ok && n == n && n < 1e300 && n > -1e300 {
			return n, nil
		}
	}
	return 0, errors.Errorf("the score is %s, want a number", v.Type())
}
