package config

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// setting is a field of a settings struct or of one of its tables. It implements flag.Value.
type setting struct {
	name string // TABLE.FIELD, as written in the file
	help string
	v    reflect.Value
}

var durationType = reflect.TypeFor[time.Duration]()

// flatten returns the settings in the struct that settings points to, including those in its tables,
// which are nested structs.
func flatten(settings any) []*setting {
	return appendSettings(nil, "", reflect.ValueOf(settings).Elem())
}

func appendSettings(out []*setting, prefix string, v reflect.Value) []*setting {
	for i := range v.NumField() {
		f := v.Type().Field(i)
		if !f.IsExported() {
			continue
		}
		name := prefix + f.Name
		if f.Type.Kind() == reflect.Struct {
			out = appendSettings(out, name+".", v.Field(i))
			continue
		}
		out = append(out, &setting{name: name, help: f.Tag.Get("help"), v: v.Field(i)})
	}
	return out
}

// flagName returns the name of the setting's flag, which is the name in lower case.
func (s *setting) flagName() string { return strings.ToLower(s.name) }

// String formats the value as it is written in a flag. The flag package also calls it on a zero setting.
func (s *setting) String() string {
	if s == nil || !s.v.IsValid() {
		return ""
	}
	if s.v.Kind() == reflect.Slice {
		parts := make([]string, s.v.Len())
		for i := range parts {
			parts[i] = s.v.Index(i).String()
		}
		return strings.Join(parts, ",")
	}
	return fmt.Sprint(s.v.Interface())
}

// IsBoolFlag allows the flag of a bool setting without a value.
func (s *setting) IsBoolFlag() bool { return s.v.Kind() == reflect.Bool }

// Set parses text and assigns the value. The elements of a list are separated by commas.
func (s *setting) Set(text string) error {
	if s.v.Type() == durationType {
		d, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("%q is not a duration such as 250ms or 4s", text)
		}
		s.v.SetInt(int64(d))
		return nil
	}
	switch s.v.Kind() {
	case reflect.String:
		s.v.SetString(text)
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("%q is not true or false", text)
		}
		s.v.SetBool(b)
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		s.v.SetInt(n)
	case reflect.Float64:
		x, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", text)
		}
		s.v.SetFloat(x)
	case reflect.Slice:
		s.setList(text)
	default:
		return fmt.Errorf("setting %s has unsupported type %s", s.name, s.v.Type())
	}
	return nil
}

func (s *setting) setList(text string) {
	out := reflect.MakeSlice(s.v.Type(), 0, 0)
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			out = reflect.Append(out, reflect.ValueOf(part).Convert(s.v.Type().Elem()))
		}
	}
	s.v.Set(out)
}
