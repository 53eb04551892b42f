// Command orchidward-gateway is the stateless front end: it serves HTTP to clients,
// operators and runners and forwards their requests to the control plane. It stores
// nothing on disk.
package main

import (
	"go.uber.org/fx"

	"orchidward/internal/api/identifier"
	"orchidward/internal/daemon/gatewayd"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/logging"
	"orchidward/internal/daemon/settings"
)

type flags struct {
	Boot   string   `help:"Settings file, JSON, keys as the flags." placeholder:"FILE"`
	Addr   string   `help:"IP:PORT for the other processes." required:""`
	HTTP   string   `name:"http" help:"IP:PORT for callers, operators and runners." required:""`
	Domain string   `help:"Zone this machine stands in." required:""`
	Seeds  []string `help:"Three IP:PORT of other processes." required:""`
	BodyKb int64    `help:"Largest request body in KiB." default:"1024"`
}

func (f *flags) check(v *settings.Validator) {
	v.Addr("addr", f.Addr)
	v.Addr("http", f.HTTP)
	v.Name("domain", f.Domain)
	v.Addrs("seeds", f.Seeds, 1)
	v.Range("body-kb", f.BodyKb, 16, 4096)
}

func (f *flags) settings() gatewayd.Settings {
	return gatewayd.Settings{Addr: f.Addr, HTTP: f.HTTP, Domain: identifier.Domain(f.Domain), Seeds: f.Seeds, BodyKb: f.BodyKb}
}

func main() {
	f := &flags{}
	settings.Parse(f, "orchidward-gateway", "Stateless front end of orchidward.", f.check)
	logging.Run(fx.Supply(f.settings()), lifecycle.Module, fx.Provide(gatewayd.New), fx.Invoke(func(*gatewayd.Daemon) {}))
}
