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

// collector records the faults of all flags, where kong would stop at the first.
type collector struct {
	faults []flagFault
}

// flagFault is a fault and the flag that it belongs to.
type flagFault struct {
	value *kong.Value
	fault Fault
}

// wrapMappers replaces the mapper of each flag that takes a value by one that
// records faults.
func (c *collector) wrapMappers(k *kong.Kong) error {
	return kong.Visit(k.Model, func(node kong.Visitable, next kong.Next) error {
		if flag, ok := node.(*kong.Flag); ok && !flag.IsBool() && !flag.IsCounter() {
			flag.Mapper = mapper{collector: c, next: flag.Mapper}
		}
		return next(nil)
	})
}

// commandFaults returns the faults of the selected command's flags, including
// required flags that are not set.
func (c *collector) commandFaults(ctx *kong.Context) []Fault {
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

// mapper decodes one flag with next and reports its faults to the collector.
type mapper struct {
	collector *collector
	next      kong.Mapper
}

// Decode implements kong.Mapper. It returns an error only if the value is
// missing, and otherwise records the fault so that parsing goes on.
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
		m.collector.faults = append(m.collector.faults, flagFault{
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

// describer is implemented by setting types that describe their valid values.
type describer interface {
	Allowed() string
}

// allowed describes the valid values of a setting.
func allowed(v *kong.Value) string {
	if v.Enum != "" {
		return "one of " + v.Enum
	}
	valueType := v.Target.Type()
	listSuffix := ""
	if valueType.Kind() == reflect.Slice {
		valueType, listSuffix = valueType.Elem(), ", comma-separated"
	}
	text := valueType.Kind().String()
	if d, ok := reflect.Zero(valueType).Interface().(describer); ok {
		text = d.Allowed()
	} else if valueType == reflect.TypeFor[time.Duration]() {
		text = "a duration such as 1.5s"
	}
	if low := v.Tag.Get("min"); low != "" {
		text += ", at least " + low
	}
	if high := v.Tag.Get("max"); high != "" {
		text += ", at most " + high
	}
	return text + listSuffix
}

var errRange = errors.New("out of range")

// checkRange checks a value against the setting's enum, min and max tags.
func checkRange(v *kong.Value, target reflect.Value) error {
	if v.Enum != "" && target.Kind() == reflect.String && !slices.Contains(v.EnumSlice(), target.String()) {
		return errRange
	}
	low, high := v.Tag.Get("min"), v.Tag.Get("max")
	switch {
	case target.Type() == reflect.TypeFor[time.Duration]():
		return checkBounds(time.Duration(target.Int()), low, high, time.ParseDuration)
	case target.CanInt():
		return checkBounds(target.Int(), low, high, parseInt)
	case target.CanUint():
		return checkBounds(target.Uint(), low, high, parseUint)
	case target.CanFloat():
		return checkBounds(target.Float(), low, high, parseFloat)
	}
	return nil
}

func parseInt(text string) (int64, error)     { return strconv.ParseInt(text, 10, 64) }
func parseUint(text string) (uint64, error)   { return strconv.ParseUint(text, 10, 64) }
func parseFloat(text string) (float64, error) { return strconv.ParseFloat(text, 64) }

// checkBounds checks that low <= value <= high. An empty bound is ignored.
func checkBounds[T cmp.Ordered](value T, low, high string, parse func(string) (T, error)) error {
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
