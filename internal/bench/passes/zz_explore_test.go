package passes

import (
	"fmt"
	"os"
	"testing"

	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
)

func TestExplore(t *testing.T) {
	if os.Getenv("EXPLORE") == "" {
		t.Skip()
	}
	for _, w := range Workloads {
		for _, load := range []float64{0.85, 1, 1.2} {
			plays := map[string]Play{"flip": {Load: load, Length: 34000}}
			if load == 1 {
				plays["stop"] = Play{Load: load, Length: 50000, Stop: Fault{At: 34000, For: 1000}}
				plays["lost"] = Play{Load: load, Length: 34000, Lost: Fault{At: 12000, For: 12000, Share: 0.33}}
			}
			for name, p := range plays {
				r := Mean(w, Dispatcher(w, dispatch.DefaultParams()), p, 8)
				b := Bound(w, p, 8)
				fmt.Printf("%s %s %.2f: day %.4f worst %.4f short %.3f medium %.3f long %.3f largest %.2f | bound day %.3f short %.3f long %.3f\n", w.Name, name, load, r.Day, r.Worst, r.InTime["short"], r.InTime["medium"], r.InTime["long"], r.Largest["long"], b.Day, b.InTime["short"], b.InTime["long"])
			}
		}
	}
}
