package coordination

// recentNames is a set of the names of machines that went last, so many that old messages which name
// one are known for old. The zero value is empty. (Once all were forgotten together when there
// were too many, and what was on its way then was taken for new.)
type recentNames struct {
	names map[string]bool
	order []string
}

// maxRecentNames bounds what is remembered of machines that were returned.
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
