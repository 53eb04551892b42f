package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
)

// seedStep is the difference between two consecutive seeds of a day.
const seedStep = 7919

var (
	errNoSuchDay = errors.New("the site file has none of the given days")
	dayName      = regexp.MustCompile(`(?m)^name = "([^"]+)"$`)
	daySeed      = regexp.MustCompile(`(?m)^seed = (\d+)$`)
)

// dayMark starts the section of a day in a site file.
const dayMark = "[[day]]\n"

// siteCopy is a copy of a site file with only the chosen days, each with several seeds.
type siteCopy struct {
	name string
	path string
}

// writeSite writes the copy, and wire.json, which the bench requires in the same folder.
func writeSite(o options) (siteCopy, error) {
	text, err := os.ReadFile(o.site)
	if err != nil {
		return siteCopy{}, err
	}
	changed, err := multiplyDays(string(text), o.days, o.seeds)
	if err != nil {
		return siteCopy{}, err
	}
	folder := filepath.Join(o.out, "site")
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return siteCopy{}, err
	}
	wire, err := os.ReadFile(filepath.Join(filepath.Dir(o.site), "wire.json"))
	if err != nil {
		return siteCopy{}, err
	}
	if err := os.WriteFile(filepath.Join(folder, "wire.json"), wire, 0o644); err != nil {
		return siteCopy{}, err
	}
	name := strings.TrimSuffix(filepath.Base(o.site), ".toml")
	path := filepath.Join(folder, filepath.Base(o.site))
	return siteCopy{name, path}, os.WriteFile(path, []byte(changed), 0o644)
}

// multiplyDays returns a site file with the named days, or with all days if no name is
// given. Each day is repeated once per seed; the first copy keeps the seed of the site file.
func multiplyDays(text string, names []string, seeds int) (string, error) {
	parts := strings.Split(text, dayMark)
	var result strings.Builder
	result.WriteString(parts[0])
	count := 0
	for _, day := range parts[1:] {
		name := dayName.FindStringSubmatch(day)
		seed := daySeed.FindStringSubmatch(day)
		if name == nil || seed == nil || !slices.Contains(names, name[1]) && names[0] != "" {
			continue
		}
		for i := range seeds {
			copied := strings.Replace(day, name[0], fmt.Sprintf("name = %q", copyName(name[1], i)), 1)
			copied = strings.Replace(copied, seed[0], fmt.Sprintf("seed = %d", parseSeed(seed[1])+i*seedStep), 1)
			result.WriteString(dayMark + copied)
			count++
		}
	}
	if count == 0 {
		return "", errNoSuchDay
	}
	return result.String(), nil
}

// copySeparator separates the name of a day and the number of its seed.
const copySeparator = "-s"

func copyName(day string, seed int) string { return fmt.Sprint(day, copySeparator, seed) }

// originalDay returns the name of the day that a copy was made from.
func originalDay(name string) string {
	at := strings.LastIndex(name, copySeparator)
	if at < 0 {
		return name
	}
	return name[:at]
}

func parseSeed(digits string) int {
	n := 0
	for _, digit := range digits {
		n = n*10 + int(digit-'0')
	}
	return n
}
