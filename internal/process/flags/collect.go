package flags

import (
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"time"

	"github.com/alecthomas/kong"
)

// collector keeps the faults of all flags instead of stopping at the first.
type collector struct {
	faults []collected
}

type collected struct {
	value *kong.Value
	fault Fault
}

// wrap puts the collector around the mapper of each flag.
func (c *collector) wrap(k *kong.Kong) error {
	return kong.Visit(k.Model, func(node kong.Visitable, next kong.Next) error {
		if flag, ok := node.(*kong.Flag); ok && !flag.IsBool() && !flag.IsCounter() {
			flag.Mapper = mapper{collector: c, next: flag.Mapper}
		}
		return next(nil)
	})
}

// active returns the faults of the flags of the chosen command, those that
// are missing included.
func (c *collector) active(ctx *kong.Context) []Fault {
	var faults []Fault
	for _, flag := range ctx.Flags() {
		for _, found := range c.faults {
			if found.value == flag.Value && !slices.Contains(faults, found.fault) {
				faults = append(faults, found.fault)
			}
		}
		if flag.Required && !flag.Set {
			faults = append(faults, newFault(flag.Value, ""))
		}
	}
	return faults
}

// mapper decodes one flag and hands its faults to the collector.
type mapper struct {
	collector *collector
	next      kong.Mapper
}

// Decode reads the flag's value. It fails only where no value is given.
func (m mapper) Decode(ctx *kong.DecodeContext, target reflect.Value) error {
	given := ctx.Scan.Peek()
	if given.IsEOL() {
		return m.next.Decode(ctx, target)
	}
	err := m.next.Decode(ctx, target)
	if err == nil {
		err = checkRange(ctx.Value, target)
	}
	if err != nil {
		m.collector.faults = append(m.collector.faults, collected{
			value: ctx.Value, fault: newFault(ctx.Value, fmt.Sprint(given.Value)),
		})
	}
	return nil
}

func newFault(v *kong.Value, given string) Fault {
	if given != "" && v.Tag.Has("secret") {
		given = "[redacted]"
	}
	fault := Fault{Flag: "--" + v.Name, Value: given, Allowed: allowed(v)}
	if len(v.Tag.Envs) > 0 {
		fault.Env = v.Tag.Envs[0]
	}
	return fault
}

// describer is a type of settings that says what it allows.
type describer interface {
	Allowed() string
}

// allowed describes the values that a setting takes.
func allowed(v *kong.Value) string {
	if v.Enum != "" {
		return "one of " + v.Enum
	}
	kind := v.Target.Type()
	list := ""
	if kind.Kind() == reflect.Slice {
		kind, list = kind.Elem(), ", several joined by commas"
	}
	text := kind.Kind().String()
	if d, ok := reflect.Zero(kind).Interface().(describer); ok {
		text = d.Allowed()
	} else if kind == reflect.TypeFor[time.Duration]() {
		text = "a duration such as 1.5s"
	}
	if low := v.Tag.Get("min"); low != "" {
		text += ", at least " + low
	}
	if high := v.Tag.Get("max"); high != "" {
		text += ", at most " + high
	}
	return text + list
}

var errRange = errors.New("out of range")

// checkRange checks a value against its enum, min and max.
func checkRange(v *kong.Value, target reflect.Value) error {
	if v.Enum != "" && target.Kind() == reflect.String && !slices.Contains(v.EnumSlice(), target.String()) {
		return errRange
	}
	low, high := v.Tag.Get("min"), v.Tag.Get("max")
	switch {
	case target.Type() == reflect.TypeFor[time.Duration]():
		return within(time.Duration(target.Int()), low, high, time.ParseDuration)
	case target.CanInt():
		return within(target.Int(), low, high, parseInt)
	case target.CanUint():
		return within(target.Uint(), low, high, parseUint)
	case target.CanFloat():
		return within(target.Float(), low, high, parseFloat)
	}
	return nil
}

func parseInt(text string) (int64, error)     { return strconv.ParseInt(text, 10, 64) }
func parseUint(text string) (uint64, error)   { return strconv.ParseUint(text, 10, 64) }
func parseFloat(text string) (float64, error) { return strconv.ParseFloat(text, 64) }

// within checks a value against bounds, of which empty ones don't count.
func within[T cmp.Ordered](value T, low, high string, parse func(string) (T, error)) error {
	if low != "" {
		bound, err := parse(low)
		if err != nil || value < bound {
			return errRange
		}
	}
	if high != "" {
		bound, err := parse(high)
		if err != nil || value > bound {
			return errRange
		}
	}
	return nil
}
