package policy

import (
	"math"

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
	// maxScore bounds the size of a score.
	maxScore = 1e300
)

// Inputs is what a policy may know of a runner and of the task that it is scored for.
type Inputs struct {
	// FreeCores and FreeMem are the runner's free resources, Cores and Mem all of them,
	// memory in mebibytes.
	FreeCores int64
	FreeMem   int64
	Cores     int64
	Mem       int64
	// Running is the number of open leases.
	Running int64
	// RunnerSuccesses and RunnerDefects count recent ends.
	RunnerSuccesses int64
	RunnerDefects   int64
	Labels          map[string]bool
	Zone            string
	Rack            string

	// NeedCores and NeedMem are the demand of the task, Members the size of its gang.
	NeedCores int64
	NeedMem   int64
	Urgency   int64
	Defects   int64
	Members   int64
}

// Policy is a compiled scoring expression.
type Policy struct {
	score starlark.Callable
}

var dialect = &syntax.FileOptions{}

// Compile checks a source and compiles it. The error has the line and the column of what
// is wrong.
func Compile(source string) (*Policy, error) {
	if len(source) > MaxSourceBytes {
		return nil, errors.Errorf("longer than %d bytes", MaxSourceBytes)
	}
	expr, err := dialect.ParseExpr("policy", source, 0)
	if err != nil {
		return nil, err
	}
	if err = checkExpr(expr); err != nil {
		return nil, err
	}
	program := "score = lambda runner, task, label, zone, rack: (\n" + source + "\n)"
	globals, err := starlark.ExecFileOptions(dialect, &starlark.Thread{Name: "compile"}, "policy", program, nil)
	if err != nil {
		return nil, err
	}
	score, ok := globals["score"].(starlark.Callable)
	if !ok {
		return nil, errors.New("not an expression")
	}
	return &Policy{score: score}, nil
}

// Score evaluates the policy: higher is better. An expression that fails, takes more than
// MaxSteps or gives no number is an error.
func (p *Policy) Score(in Inputs) (float64, error) {
	thread := &starlark.Thread{Name: "policy"}
	thread.SetMaxExecutionSteps(MaxSteps)
	value, err := starlark.Call(thread, p.score, in.arguments(), nil)
	if err != nil {
		return 0, err
	}
	switch value := value.(type) {
	case starlark.Bool:
		if value {
			return 1, nil
		}
		return 0, nil
	case starlark.Int, starlark.Float:
		score, ok := starlark.AsFloat(value)
		if ok && !math.IsNaN(score) && math.Abs(score) < maxScore {
			return score, nil
		}
	}
	return 0, errors.Errorf("the score is %s, want a number", value.Type())
}

// arguments are those of the lambda that Compile makes.
func (in *Inputs) arguments() starlark.Tuple {
	runner := numbers(map[string]int64{
		"freeCores": in.FreeCores,
		"freeMemMb": in.FreeMem,
		"cores":     in.Cores,
		"memMb":     in.Mem,
		"running":   in.Running,
		"good":      in.RunnerSuccesses,
		"bad":       in.RunnerDefects,
	})
	task := numbers(map[string]int64{
		"cores":   in.NeedCores,
		"memMb":   in.NeedMem,
		"urgency": in.Urgency,
		"defects": in.Defects,
		"members": in.Members,
	})
	return starlark.Tuple{
		runner,
		task,
		predicate("label", func(name string) bool { return in.Labels[name] }),
		predicate("zone", func(name string) bool { return in.Zone == name }),
		predicate("rack", func(name string) bool { return in.Rack == name }),
	}
}

// numbers is a struct of numbers. They are floats, so that no expression builds large
// integers.
func numbers(values map[string]int64) *starlarkstruct.Struct {
	fields := starlark.StringDict{}
	for name, value := range values {
		fields[name] = starlark.Float(value)
	}
	return starlarkstruct.FromStringDict(starlarkstruct.Default, fields)
}

// predicate is a function of one string.
func predicate(name string, holds func(argument string) bool) *starlark.Builtin {
	call := func(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple, _ []starlark.Tuple) (starlark.Value, error) {
		if len(args) != 1 {
			return nil, errors.Errorf("%s() wants one word", name)
		}
		argument, ok := starlark.AsString(args[0])
		if !ok {
			return nil, errors.Errorf("%s() wants one word", name)
		}
		return starlark.Bool(holds(argument)), nil
	}
	return starlark.NewBuiltin(name, call)
}
