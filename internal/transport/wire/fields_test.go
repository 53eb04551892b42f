package wire

import (
	"reflect"
	"testing"

	"orchidward/internal/consensus/raft"
)

// setter gives one field, somewhere inside a value, another value than zero.
type setter struct {
	path string
	set  func(v reflect.Value)
}

// setters lists a setter for each field inside a type that holds no fields itself.
// Pointers on the way are allocated, and lists get one element.
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

// mapSetters makes setters of an outer value from those of the one that inner finds in it.
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
		panic(path + " is of a type that setScalar does not know")
	}
}

// TestEveryFieldSurvives checks that each field of each message is decoded as it was
// encoded when it is the only one that is set, and for raft messages also with each kind:
// none is carried only beside another.
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
			t.Errorf("%s is lost when it stands alone", s.path)
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
