package settings

import (
	"fmt"
	"maps"
	"slices"

	"github.com/tidwall/gjson"

	"example.org/bellstream/balance"
)

// Arrays of the file with one value a class.
const (
	classKindsPath      = "settings.family_info.class_kind"
	classPrioritiesPath = "settings.family_info.class_priority"
	classStretchesPath  = "settings.family_info.class_stretch"
)

const classesPath = "settings.lanes"

// outline is what a configuration file, or one object of an array in it, contains: the paths of its keys, without the
// values. A key whose value is null counts as missing.
type outline struct {
	keys      map[string]bool     // "[]" stands for all elements of an array of objects
	lengths   map[string]int      // of arrays whose elements are no objects, by path
	elements  map[string]*outline // objects in arrays that have a name, by path with that name
	nulls     []string            // elements of arrays that are null, by path with index
	semantics string              // of a class
	classes   int                 // number of classes
}

func newOutline(object gjson.Result) *outline {
	o := &outline{
		keys:      map[string]bool{},
		lengths:   map[string]int{},
		elements:  map[string]*outline{},
		semantics: object.Get("semantics").String(),
	}
	o.addObject("", object)
	return o
}

// isStartKey reports whether a key is used only at start.
func isStartKey(path string) bool { return path == "known" || path == "seed" }

// isKeyedClassKey reports whether only classes with idempotency keys use a key.
func isKeyedClassKey(key string) bool { return key == "dedup_scope" || key == "repeat_window" }

// isOptionalClassKey reports whether a class may lack a key that other classes, or it before, have.
func isOptionalClassKey(key string) bool { return key == "aim_stretch" }

func isPerClass(path string) bool {
	return path == classKindsPath || path == classPrioritiesPath || path == classStretchesPath
}

func (o *outline) addObject(prefix string, object gjson.Result) {
	object.ForEach(func(name, value gjson.Result) bool {
		path := prefix + name.String()
		if isStartKey(path) || value.Type == gjson.Null {
			return true
		}
		o.keys[path] = true
		o.addValue(path, value)
		return true
	})
}

func (o *outline) addValue(path string, value gjson.Result) {
	switch {
	case value.IsObject():
		o.addObject(path+".", value)
	case value.IsArray():
		o.addArray(path, value.Array())
	}
}

func (o *outline) addArray(path string, elements []gjson.Result) {
	var objects []*outline
	for i, element := range elements {
		elementPath := fmt.Sprintf("%s[%d]", path, i)
		switch {
		case element.Type == gjson.Null:
			o.nulls = append(o.nulls, elementPath)
		case element.IsObject():
			object := newOutline(element)
			objects = append(objects, object)
			o.addElement(path, elementPath, element.Get("name").String(), object)
		default:
			o.addValue(elementPath, element)
		}
	}
	if path == classesPath {
		o.classes = len(objects)
	}
	if len(objects) == 0 {
		o.lengths[path] = len(elements)
		return
	}
	if len(objects) == len(elements) {
		o.addCommonKeys(path, objects)
	}
}

func (o *outline) addElement(path, elementPath, name string, object *outline) {
	for _, null := range object.nulls {
		o.nulls = append(o.nulls, elementPath+"."+null)
	}
	if name != "" {
		o.elements[fmt.Sprintf("%s[%s]", path, name)] = object
	}
}

// addCommonKeys adds the keys that all objects of an array have, without those that only keyed classes use.
func (o *outline) addCommonKeys(path string, objects []*outline) {
	for key := range objects[0].keys {
		lacksKey := func(object *outline) bool { return !object.keys[key] }
		isKeyed := path == classesPath && isKeyedClassKey(key)
		if !isKeyed && !slices.ContainsFunc(objects, lacksKey) {
			o.keys[path+"[]."+key] = true
		}
	}
}

// checkAgainst returns a [*KeyError] if a value is missing that the file in force has, or if an element of an array
// is null. Arrays of plain values must not become shorter; those with one value a class must have one for each class.
func (o *outline) checkAgainst(inForce *outline) error {
	if len(o.nulls) > 0 {
		return &KeyError{slices.Min(o.nulls), "missing"}
	}
	if missing := o.missingKeys(inForce); len(missing) > 0 {
		return &KeyError{slices.Min(missing), "missing"}
	}
	return o.checkLengths(inForce)
}

// missingKeys returns the paths of the keys that the file in force has and this one lacks.
func (o *outline) missingKeys(inForce *outline) (missing []string) {
	for key := range inForce.keys {
		if !o.keys[key] {
			missing = append(missing, key)
		}
	}
	for path, former := range inForce.elements {
		if element := o.elements[path]; element != nil {
			for _, key := range element.missingKeys(former) {
				if !element.mayLack(key, former) {
					missing = append(missing, path+"."+key)
				}
			}
		}
	}
	return missing
}

// mayLack reports whether an element may lack a key that the element of this name had before. What a keyed class
// needs is checked with its values.
func (o *outline) mayLack(key string, former *outline) bool {
	isKeyed := o.semantics == string(balance.IdempotentWithKey)
	return isOptionalClassKey(key) || isKeyedClassKey(key) && (isKeyed || o.semantics != former.semantics)
}

func (o *outline) checkLengths(inForce *outline) error {
	for _, path := range slices.Sorted(maps.Keys(inForce.lengths)) {
		needed := inForce.lengths[path]
		switch {
		case !isPerClass(path):
		case needed < inForce.classes:
			needed = min(needed, o.classes)
		default:
			needed = o.classes
		}
		if given := o.lengths[path]; given < needed {
			return &KeyError{path, fmt.Sprintf("missing values: %d are given, %d are needed", given, needed)}
		}
	}
	for path, former := range inForce.elements {
		if element := o.elements[path]; element != nil {
			if err := element.checkLengths(former); err != nil {
				return fmt.Errorf("%s: %w", path, err)
			}
		}
	}
	return nil
}
