package wire

import (
	"reflect"
	"testing"

	"orchidward/internal/consensus/raft"
)

// setter sets one field, at any depth inside a value, to a non-zero value.
type setter struct {
	path string
	set  func(v reflect.Value)
}

// setters returns a setter for each leaf field of a type. Setters allocate the pointers on the
// path to the field, and create slices with one element.
func setters(t reflect.Type, path string) []setter {
	switch t.Kind() {
	case reflect.Struct:
		return structSetters(t, path)
	case reflect.Pointer:
		return mapSetters(setters(t.Elem(), path), func(v reflect.Value) reflect.Value {
			v.Set(reflect.New(t.Elem()))
			return v.Elem()
		})
	case reflect.Slice:
		return mapSetters(setters(t.Elem(), path+"[0]"), func(v reflect.Value) reflect.Value {
			v.Set(reflect.MakeSlice(t, 1, 1))
			return v.Index(0)
		})
	}
	return []setter{{path, func(v reflect.Value) { setScalar(v, path) }}}
}

func structSetters(t reflect.Type, path string) []setter {
	var list []setter
	for i := range t.NumField() {
		field := t.Field(i)
		list = append(list, mapSetters(setters(field.Type, path+"."+field.Name), func(v reflect.Value) reflect.Value {
			return v.Field(i)
		})...)
	}
	return list
}

// mapSetters converts setters of an inner value to setters of the outer value in which inner
// finds it.
func mapSetters(list []setter, inner func(v reflect.Value) reflect.Value) []setter {
	var outer []setter
	for _, s := range list {
		outer = append(outer, setter{s.path, func(v reflect.Value) { s.set(inner(v)) }})
	}
	return outer
}

func setScalar(v reflect.Value, path string) {
	const number = 77
	switch {
	case v.CanInt():
		v.SetInt(number)
	case v.CanUint():
		v.SetUint(number)
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.Kind() == reflect.String:
		v.SetString("text")
	default:
		panic(path + " has a type that setScalar does not support")
	}
}

// TestEveryFieldSurvives checks that each field of each message is decoded as it was encoded
// when no other field is set, and for Raft messages also with each kind. It guards against
// fields that are encoded only if another field is set.
func TestEveryFieldSurvives(t *testing.T) {
	const minFields = 60
	list := setters(reflect.TypeFor[Message](), "")
	if len(list) < minFields {
		t.Errorf("only %d fields are checked", len(list))
	}
	for _, s := range list {
		var m Message
		s.set(reflect.ValueOf(&m).Elem())
		if decoded := roundTrip(t, m); !reflect.DeepEqual(m, decoded) {
			t.Errorf("%s is lost when no other field is set", s.path)
		}
	}
	for _, s := range setters(reflect.TypeFor[raft.Message](), "Raft") {
		for kind := raft.AppendEntries; kind <= raft.SnapshotReply; kind++ {
			m := raft.Message{}
			s.set(reflect.ValueOf(&m).Elem())
			m.Kind = kind
			if decoded := roundTrip(t, Message{Raft: &m}); !reflect.DeepEqual(&m, decoded.Raft) {
				t.Errorf("%s is lost in a message of kind %d", s.path, kind)
			}
		}
	}
}
