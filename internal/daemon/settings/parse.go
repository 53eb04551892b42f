package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"
)

const (
	// fileFlag is the flag that names the settings file.
	fileFlag = "--boot"
	// exitUsage is the exit code for invalid flags or settings.
	exitUsage = 2
)

// Parse fills the program's flags from the command line and, with --boot FILE, from a settings
// file; the command line takes precedence. check validates the values. On invalid usage, Parse
// prints one line per problem and exits with code 2.
func Parse(into any, name, help string, check func(v *Validator)) *kong.Context {
	options := []kong.Option{kong.Name(name), kong.Description(help), kong.UsageOnError(), kong.Exit(exitWithUsage)}
	for _, path := range settingsFiles(os.Args) {
		file, err := ReadFile(path)
		if err != nil {
			exitWithProblems(name, err.Error())
		}
		options = append(options, kong.Resolvers(file))
	}
	ctx := kong.Parse(into, options...)
	v := &Validator{}
	check(v)
	if len(v.problems) > 0 {
		exitWithProblems(name, v.problems...)
	}
	return ctx
}

// settingsFiles returns the settings files named on the command line. They must be known before
// kong parses the command line, since they provide flag values.
func settingsFiles(args []string) []string {
	var paths []string
	for i, arg := range args {
		path, ok := strings.CutPrefix(arg, fileFlag+"=")
		if arg == fileFlag && i+1 < len(args) {
			path = args[i+1]
			ok = true
		}
		if ok && path != "" {
			paths = append(paths, path)
		}
	}
	return paths
}

func exitWithUsage(code int) {
	if code != 0 {
		code = exitUsage
	}
	os.Exit(code)
}

func exitWithProblems(name string, problems ...string) {
	for _, problem := range problems {
		fmt.Fprintf(os.Stderr, "%s: %s\n", name, problem)
	}
	os.Exit(exitUsage)
}
