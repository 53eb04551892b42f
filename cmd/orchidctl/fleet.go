// Commands on zones, runners and the core.
package main

import (
	"encoding/json"
	"fmt"
	"net/url"

	"orchidward/internal/api/endpoint"
)

type closeCmd struct {
	Domain string `arg:"" help:"Zone to close."`
	ID     string `name:"id" help:"The closing's own id, so that a resend is known for one."`
}

func (c *closeCmd) Run(d *desk) error {
	var err error
	var body []byte
	if c.ID != "" {
		if body, err = json.Marshal(map[string]string{"id": c.ID}); err != nil {
			return err
		}
	}
	text, err := d.ask("PUT", endpoint.DrainPath(url.PathEscape(c.Domain)), body)
	if err != nil {
		return err
	}
	return d.show(text, printClosing)
}

type reopenCmd struct {
	Name string `arg:"" help:"The closing's id, or its zone."`
}

func (c *reopenCmd) Run(d *desk) error {
	text, err := d.ask("DELETE", endpoint.DrainPath(url.PathEscape(c.Name)), nil)
	if err != nil {
		return err
	}
	return d.show(text, printClosing)
}

type closingsCmd struct {
	Name string `arg:"" optional:"" help:"One closing's id or zone."`
}

func (c *closingsCmd) Run(d *desk) error {
	path := endpoint.DrainsPath
	if c.Name != "" {
		path += "/" + url.PathEscape(c.Name)
	}
	text, err := d.ask("GET", path, nil)
	if err != nil {
		return err
	}
	return d.show(text, func(doc map[string]any) {
		if c.Name != "" {
			printClosing(doc)
			return
		}
		for _, one := range list(doc, "closings") {
			printClosing(one)
		}
	})
}

func list(doc map[string]any, key string) []map[string]any {
	var out []map[string]any
	all, _ := doc[key].([]any)
	for _, v := range all {
		if one, ok := v.(map[string]any); ok {
			out = append(out, one)
		}
	}
	return out
}

func printClosing(doc map[string]any) {
	where := fmt.Sprint(doc["domain"])
	if doc["rack"] != nil {
		where += "/" + fmt.Sprint(doc["rack"])
	}
	fmt.Printf("%v  %v %s  stage %v  scope %v\n", doc["id"], doc["kind"], where, doc["stage"], doc["scope"])
	if doc["judged"] == true {
		moved, _ := doc["displaced"].([]any)
		fmt.Printf("  preflight fits=%v short=%v  displaced %d tasks, %v gangs\n", doc["fits"], doc["short"], len(moved), doc["gangs"])
	}
	if doc["verdict"] != nil {
		fmt.Printf("  post-drain: %v (unconfirmed stops: %v)\n", doc["verdict"], doc["loose"])
	}
}

type runnersCmd struct{}

func (c *runnersCmd) Run(d *desk) error {
	text, err := d.ask("GET", endpoint.RunnersPath, nil)
	if err != nil {
		return err
	}
	return d.show(text, func(doc map[string]any) {
		for _, r := range list(doc, "runners") {
			state := fmt.Sprint(r["mode"])
			if r["gone"] == true {
				state = "gone"
			}
			used, _ := r["used"].(map[string]any)
			fmt.Printf("%-12v %-8v %-8v %-9s cores %v/%v  memMb %v/%v  tasks %v  well %v  defects %v", r["runner"], r["domain"], r["rack"], state,
				used["cores"], r["cores"], used["memMb"], r["memMb"], r["tasks"], r["well"], r["defects"])
			if r["fence"] != nil {
				fmt.Printf("  fenced by %v", r["fence"])
			}
			fmt.Println()
		}
	})
}

type keepersCmd struct{}

func (c *keepersCmd) Run(d *desk) error {
	text, err := d.ask("GET", endpoint.ServersPath, nil)
	if err != nil {
		return err
	}
	return d.show(text, func(doc map[string]any) {
		fmt.Printf("term %v  commit %v  view %v  level %v  site time %v  clocks agree %v\n", doc["term"], doc["commit"], doc["view"], doc["level"], doc["siteTime"], doc["clocksAgree"])
		for _, k := range list(doc, "keepers") {
			role := "learner"
			switch {
			case k["leads"] == true:
				role = "leader"
			case k["voter"] == true:
				role = "voter"
			}
			fmt.Printf("%v  %-8v %-22v %-8s match %v  quiet %vms  knows level %v\n", k["name"], k["domain"], k["addr"], role, k["match"], k["quietMs"], k["level"])
		}
		for _, p := range list(doc, "policies") {
			fmt.Printf("policy of %v: used %v, failed %v  %v\n", p["row"], p["used"], p["failed"], p["lastFailure"])
		}
	})
}

type membersCmd struct{}

func (c *membersCmd) Run(d *desk) error {
	text, err := d.ask("GET", endpoint.MembersPath, nil)
	if err != nil {
		return err
	}
	return d.show(text, func(doc map[string]any) {
		for _, k := range list(doc, "keepers") {
			fmt.Printf("keeper %v %v %v\n", k["node"], k["addr"], k["domain"])
		}
		gates, _ := doc["gates"].([]any)
		for _, g := range gates {
			fmt.Printf("gate %v\n", g)
		}
	})
}
