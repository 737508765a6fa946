package fleet

import (
	"fmt"
	"slices"
	"time"
)

// BootTimeouts returns the ages after which plans no longer count on a booting machine (late) and after which it
// is taken never to boot (never), for a type with the given nominal boot time. Both are raised where the observed
// boot times of the type are long: otherwise machines were replaced that only booted slowly.
func BootTimeouts(boot time.Duration, observed []time.Duration) (late, never time.Duration) {
	late, never = boot*9/5+5*time.Second, boot*13/5+15*time.Second
	if len(observed) >= 4 {
		sorted := slices.Sorted(slices.Values(observed))
		slow := sorted[len(sorted)*3/4]
		late, never = max(late, min(slow*5/4, 4*boot)), max(never, min(slow*2, 6*boot))
	}
	return late, never
}

// Kind is a kind of machine that the cloud may offer: a type in a zone, spot or ordinary.
type Kind struct {
	Type, Zone string
	Spot       bool
}

// String names the kind for logs.
func (k Kind) String() string { return fmt.Sprint(k.Type, "/", k.Zone, "/", k.Spot) }

// SilentToReturn returns the silent machines that should be returned. It returns none if a large part of the
// fleet is silent at once, and none of a holder's machines if a large part of them is: the fault then lies
// between them and the controllers, and the machines are probably healthy. holderOf maps machines to the
// controllers that hold them; total is the number of machines.
func SilentToReturn(silent []string, holderOf map[string]string, total int) []string {
	if len(silent) > max(2, total/3) {
		return nil
	}
	held, silentOf := map[string]int{}, map[string]int{}
	for _, h := range holderOf {
		held[h]++
	}
	for _, id := range silent {
		silentOf[holderOf[id]]++
	}
	return slices.DeleteFunc(silent, func(id string) bool {
		h := holderOf[id]
		return h != "" && silentOf[h] > 2 && 2*silentOf[h] > held[h]
	})
}

// MaxBootSamples is how many boot times are kept for a type.
const MaxBootSamples = 24
