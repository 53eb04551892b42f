// Command orchidward-server is a control-plane server: it stores the replicated
// state on disk. The leader among them schedules jobs and runs drains.
package main

import (
	"go.uber.org/fx"

	"orchidward/internal/api/identifier"
	"orchidward/internal/clock"
	"orchidward/internal/daemon/lifecycle"
	"orchidward/internal/daemon/logging"
	"orchidward/internal/daemon/serverd"
	"orchidward/internal/daemon/settings"
)

// maxLosses is the number of lost disks that a group of five voters tolerates.
const maxLosses = 2

type flags struct {
	Boot    string   `help:"Settings file, JSON, keys as the flags." placeholder:"FILE"`
	Data    string   `help:"Data folder." required:""`
	Addr    string   `help:"IP:PORT for the other processes." required:""`
	HTTP    string   `name:"http" help:"IP:PORT for liveness, readiness and metrics." required:""`
	Domain  string   `help:"Zone this machine stands in." required:""`
	Seeds   []string `help:"Three IP:PORT of keepers, or of any processes once the group is founded." required:""`
	Files   int64    `help:"Files in the ring (new folders only)." default:"8"`
	FileKb  int64    `help:"Size of a ring file in KiB (new folders only)." default:"8192"`
	ElectMs int64    `help:"Least wait for word of a leader before an election, in ms; the same for all keepers." default:"1000"`
	Losses  int64    `help:"Disks that may be lost at once, 0 to 2; the same for all servers. With 2, five voters never become three." default:"0"`
}

func (f *flags) check(v *settings.Validator) {
	v.Addr("addr", f.Addr)
	v.Addr("http", f.HTTP)
	v.Name("domain", f.Domain)
	v.Addrs("seeds", f.Seeds, 3)
	v.Range("files", f.Files, 3, 99)
	v.Range("file-kb", f.FileKb, 256, 1<<20)
	v.Range("elect-ms", f.ElectMs, 200, 10000)
	v.Range("losses", f.Losses, 0, maxLosses)
}

func (f *flags) settings() serverd.Settings {
	return serverd.Settings{
		Data:            f.Data,
		Addr:            f.Addr,
		HTTP:            f.HTTP,
		Domain:          identifier.Domain(f.Domain),
		Seeds:           f.Seeds,
		Files:           f.Files,
		FileKb:          f.FileKb,
		MayFound:        true,
		ElectionTimeout: clock.Millis(f.ElectMs),
		LossesTolerated: int(f.Losses),
	}
}

func main() {
	f := &flags{}
	settings.Parse(f, "orchidward-server", "Control-plane server of orchidward.", f.check)
	logging.Run(
		fx.Supply(f.settings()),
		lifecycle.Module,
		fx.Provide(serverd.New),
		fx.Invoke(func(d *serverd.Daemon, hooks fx.Lifecycle) { d.LeaveOnStop(hooks) }),
	)
}
