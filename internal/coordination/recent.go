package coordination

// recentNames is a set of the machine names added last. It is large enough to recognise old messages that
// name one of them. The zero value is empty. When it is full the oldest name is dropped: if all were dropped
// together, messages still on their way would be taken for new.
type recentNames struct {
	names map[string]bool
	order []string
}

// maxRecentNames bounds the names of returned machines that are remembered.
const maxRecentNames = 5000

func (r *recentNames) add(name string) {
	if r.names[name] {
		return
	}
	if r.names == nil {
		r.names = map[string]bool{}
	}
	if len(r.order) == maxRecentNames {
		delete(r.names, r.order[0])
		r.order = r.order[1:]
	}
	r.names[name] = true
	r.order = append(r.order, name)
}

func (r *recentNames) has(name string) bool { return r.names[name] }
