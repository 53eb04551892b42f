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
	// MaxSteps bounds the interpreter steps for scoring one runner.
	MaxSteps = 2000
	// maxScore bounds the absolute value of a score.
	maxScore = 1e300
)

// Inputs holds the attributes of a runner and of a task that a policy can read.
type Inputs struct {
	// FreeCores and FreeMem are the runner's free resources, Cores and Mem its capacity.
	// Memory is in mebibytes.
	FreeCores int64
	FreeMem   int64
	Cores     int64
	Mem       int64
	// Running is the number of open leases.
	Running int64
	// RunnerSuccesses and RunnerDefects count the recent runs that ended that way.
	RunnerSuccesses int64
	RunnerDefects   int64
	Labels          map[string]bool
	Zone            string
	Rack            string

	// NeedCores and NeedMem are the demand of the task; Members is the size of its gang.
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

// Compile checks and compiles a policy's source. The error gives the line and column of
// the fault.
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

// Score evaluates the policy; a higher score is better. It returns an error if the
// evaluation fails, takes more than MaxSteps, or does not yield a number.
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

// arguments returns the arguments of the lambda that Compile wraps around the expression.
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

// numbers returns a struct with numeric fields. They are floats, so that no expression can
// build large integers.
func numbers(values map[string]int64) *starlarkstruct.Struct {
	fields := starlark.StringDict{}
	for name, value := range values {
		fields[name] = starlark.Float(value)
	}
	return starlarkstruct.FromStringDict(starlarkstruct.Default, fields)
}

// predicate returns a built-in function that takes one string and returns a boolean.
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
