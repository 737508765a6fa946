package fleet

import (
	"fmt"
	"slices"
	"time"
)

// BootLimits are, for a type that nominally boots in so long, the ages from which a machine that has not come up is not
// counted on, and from which it is thought never to come. Where machines of
// its type came late lately, it is given as long: they would be replaced, and
// come all the same.
func BootLimits(boot time.Duration, seen []time.Duration) (late, never time.Duration) {
	late, never = boot*9/5+5*time.Second, boot*13/5+15*time.Second
	if len(seen) >= 4 {
		sorted := slices.Sorted(slices.Values(seen))
		slow := sorted[len(sorted)*3/4]
		late, never = max(late, min(slow*5/4, 4*boot)), max(never, min(slow*2, 6*boot))
	}
	return late, never
}

// Kind is what the cloud has, or has none of: a type in a zone, spot or
// ordinary.
type Kind struct {
	Type, Zone string
	Spot       bool
}

// String names the kind for logs.
func (k Kind) String() string { return fmt.Sprint(k.Type, "/", k.Zone, "/", k.Spot) }

// Lost are the silent machines that should be returned: not if a great part
// of the fleet, or of one holder's machines, is silent at once. Then the fault
// lies between them and the controllers, and they are probably well.
// holder names the controllers that hold them; total is how many there are.
func Lost(silent []string, holder map[string]string, total int) []string {
	if len(silent) > max(2, total/3) {
		return nil
	}
	all, quiet := map[string]int{}, map[string]int{}
	for _, h := range holder {
		all[h]++
	}
	for _, id := range silent {
		quiet[holder[id]]++
	}
	return slices.DeleteFunc(silent, func(id string) bool {
		h := holder[id]
		return h != "" && quiet[h] > 2 && 2*quiet[h] > all[h]
	})
}

// MaxBoots is of how many machines of a type the boot times are kept.
const MaxBoots = 24
