// Command orchidward-runner is a stand-in runner: it implements the published protocol
// and simulates tasks. Its flags and its control API make it slow, faulty or isolated.
package main

import (
	"go.uber.org/fx"

	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/logging"
	"orchidward/internal/daemon/settings"
)

type flags struct {
	Boot   string   `help:"Settings file, JSON, keys as the flags." placeholder:"FILE"`
	Name   string   `help:"The runner's name." required:""`
	Addr   string   `help:"IP:PORT for the other processes." required:""`
	HTTP   string   `name:"http" help:"IP:PORT for liveness, readiness, metrics and the stand-in's own controls." required:""`
	Domain string   `help:"Zone this machine stands in." required:""`
	Rack   string   `help:"Rack this machine stands in." required:""`
	Seeds  []string `help:"Three IP:PORT of other processes." required:""`
	Cores  int64    `help:"Cores to offer." default:"16"`
	MemMb  int64    `help:"Memory to offer, in MiB." default:"65536"`
	Labels []string `help:"Labels to offer."`
	Slow   int64    `help:"Stretch every run by so many percent." default:"0"`
	Faulty int64    `help:"Share of runs that end in a defect, in percent." default:"0"`
}

func (f *flags) check(v *settings.Validator) {
	v.Name("name", f.Name)
	v.Addr("addr", f.Addr)
	v.Addr("http", f.HTTP)
	v.Name("domain", f.Domain)
	v.Name("rack", f.Rack)
	v.Addrs("seeds", f.Seeds, 1)
	v.Range("cores", f.Cores, 1, 1<<20)
	v.Range("mem-mb", f.MemMb, 1, 1<<30)
	v.Range("slow", f.Slow, 0, 100000)
	v.Range("faulty", f.Faulty, 0, 100)
	for _, l := range f.Labels {
		v.Name("labels", l)
	}
}

func main() {
	f := &flags{}
	settings.Parse(f, "orchidward-runner", "Stand-in back end of orchidward.", f.check)
	logging.Run(fx.Supply(f), lifecycle.Module, fx.Provide(newDaemon), fx.Invoke(func(*daemon) {}))
}
