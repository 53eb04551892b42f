// Commands on the table: as JSON, as a spreadsheet's CSV, or a few cells.
package main

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"

	"orchidward/internal/api/endpoint"
	"orchidward/internal/api/limits"
)

type tableCmd struct {
	Get tableGet `cmd:"" help:"Show the table."`
	Csv tableCSV `cmd:"" help:"Write the table as CSV."`
	Put tablePut `cmd:"" help:"Replace the whole table from CSV (.csv) or JSON."`
	Set tableSet `cmd:"" help:"Change cells: row.column=value ..."`
}

// sheet is the table as the API shows it.
type sheet struct {
	Epoch int64                     `json:"epoch"`
	Site  map[string]any            `json:"site"`
	Rows  map[string]map[string]any `json:"rows"`
}

func (d *desk) sheet() (s sheet, text []byte, err error) {
	if text, err = d.ask("GET", endpoint.LimitsPath, nil); err != nil {
		return s, nil, err
	}
	return s, text, json.Unmarshal(text, &s)
}

func cell(v any) string {
	if n, ok := v.(float64); ok {
		return strconv.FormatInt(int64(n), 10)
	}
	return fmt.Sprint(v)
}

func (s sheet) records() [][]string {
	var out [][]string
	head := []string{"row"}
	for _, c := range limits.Columns {
		head = append(head, c.Name)
	}
	out = append(out, head)
	names := []string{}
	for n := range s.Rows {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		rec := []string{n}
		for _, c := range limits.Columns {
			rec = append(rec, cell(s.Rows[n][c.Name]))
		}
		out = append(out, rec)
	}
	for _, c := range limits.SiteColumns {
		out = append(out, []string{"site", c.Name, cell(s.Site[c.Name])})
	}
	return out
}

type tableGet struct{}

func (c *tableGet) Run(d *desk) error {
	s, text, err := d.sheet()
	if err != nil {
		return err
	}
	return d.show(text, func(map[string]any) {
		fmt.Printf("epoch %d\n", s.Epoch)
		for _, rec := range s.records() {
			fmt.Println(strings.Join(rec, "\t"))
		}
	})
}

type tableCSV struct{}

func (c *tableCSV) Run(d *desk) error {
	s, _, err := d.sheet()
	if err != nil {
		return err
	}
	w := csv.NewWriter(os.Stdout)
	if err = w.WriteAll(s.records()); err != nil {
		return err
	}
	return w.Error()
}

type tablePut struct {
	File string `arg:"" help:"FILE.csv or FILE.json, or - for JSON on standard input"`
	Base int64  `help:"Epoch the change was made against; the present one if left out."`
}

func (c *tablePut) Run(d *desk) error {
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	doc := map[string]any{}
	if strings.HasSuffix(c.File, ".csv") {
		doc, err = fromCSV(text)
	} else if err = json.Unmarshal(text, &doc); err != nil {
		err = usage{"the file is not JSON: " + err.Error()}
	}
	if err != nil {
		return err
	}
	delete(doc, "epoch")
	if _, has := doc["base"]; !has {
		if c.Base == 0 {
			s, _, err := d.sheet()
			if err != nil {
				return err
			}
			c.Base = s.Epoch
		}
		doc["base"] = c.Base
	}
	return d.change("PUT", doc)
}

func fromCSV(text []byte) (map[string]any, error) {
	r := csv.NewReader(bytes.NewReader(text))
	r.FieldsPerRecord = -1
	recs, err := r.ReadAll()
	if err != nil || len(recs) == 0 {
		return nil, usage{fmt.Sprintf("the file is not CSV: %v", err)}
	}
	head := recs[0]
	site, rows := map[string]any{}, map[string]any{}
	for i, rec := range recs[1:] {
		if rec[0] == "site" && len(rec) >= 3 {
			site[rec[1]] = rec[2]
			continue
		}
		if len(rec) != len(head) || rows[rec[0]] != nil {
			return nil, usage{fmt.Sprintf("line %d: want %d cells and a row named once", i+2, len(head))}
		}
		row := map[string]any{}
		for n, name := range head[1:] {
			row[name] = rec[n+1]
		}
		rows[rec[0]] = row
	}
	return map[string]any{"site": site, "rows": rows}, nil
}

func (d *desk) change(verb string, doc map[string]any) error {
	text, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	if text, err = d.ask(verb, endpoint.LimitsPath, text); err != nil {
		return err
	}
	return d.show(text, func(doc map[string]any) { fmt.Printf("epoch %v\n", doc["epoch"]) })
}

type tableSet struct {
	Cells []string `arg:"" optional:"" help:"row.column=value; a row not there yet is made"`
	Drop  []string `help:"Rows to take out."`
	Base  int64    `help:"Epoch the change was made against; the present one if left out."`
}

func (c *tableSet) Run(d *desk) error {
	cells := map[string]any{}
	for _, one := range c.Cells {
		name, val, ok := strings.Cut(one, "=")
		if !ok || !strings.Contains(name, ".") {
			return usage{"a cell is given as row.column=value, have " + one}
		}
		cells[name] = val
	}
	if len(cells)+len(c.Drop) == 0 {
		return usage{"name at least one cell or row"}
	}
	if c.Base == 0 {
		s, _, err := d.sheet()
		if err != nil {
			return err
		}
		c.Base = s.Epoch
	}
	doc := map[string]any{"base": c.Base, "cells": cells}
	if len(c.Drop) > 0 {
		doc["drop"] = c.Drop
	}
	return d.change("PATCH", doc)
}
