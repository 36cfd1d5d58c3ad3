package loadgen

import (
	"math"
	"strings"
	"testing"
)

func testSettings(shape string) Settings {
	return Settings{Seed: 3, Rate: 200, Shape: shape, Burst: 20, Period: 20, Span: 60,
		Classes: []Class{{WeightedName: WeightedName{"a", 3}, ClientTimeout: 2, Slots: []WeightedName{{"1", 1}, {"4", 1}}}, {WeightedName: WeightedName{"b", 1}, ClientTimeout: 5, HasIdempotencyKey: true}},
		Tenants: []WeightedName{{"x", 1}, {"y", 4}}, DisconnectFraction: 0.1, MaxRetries: 2}
}

// Each shape has the mean rate, the order of time and the fractions of the settings, and
// the same seed gives the same jobs.
func TestShapes(t *testing.T) {
	for _, shape := range Shapes {
		s := testSettings(shape)
		if err := s.Validate(); err != nil {
			t.Fatal(err)
		}
		first := NewGenerator(s)
		second := NewGenerator(s)
		n, last := 0.0, 0.0
		count := map[string]float64{}
		perSecond := map[int]float64{}
		for {
			j, ok := first.Next()
			if k, also := second.Next(); j != k || ok != also {
				t.Fatalf("%s: generators with the same seed gave %+v and %+v", shape, j, k)
			}
			if !ok {
				break
			}
			if j.At < last || j.At >= 60 || j.DisconnectsAfter > j.ClientTimeout {
				t.Fatalf("%s: got job %+v after one at %v", shape, j, last)
			}
			n, last = n+1, j.At
			count[j.Class]++
			count[j.Tenant]++
			perSecond[int(j.At)]++
			if j.DisconnectsAfter > 0 {
				count["leaves"]++
			}
			if j.Slots == 4 {
				count["wide"]++
			}
		}
		for what, want := range map[string]float64{"a": 0.75, "y": 0.8, "leaves": 0.1, "wide": 0.375} {
			if math.Abs(count[what]/n-want) > 0.03 {
				t.Errorf("%s: fraction of %s: got %.3f, want %v", shape, what, count[what]/n, want)
			}
		}
		if math.Abs(n/60-200) > 25 {
			t.Errorf("%s: got %.1f requests per second, want 200", shape, n/60)
		}
		if ratio := perSecond[10] / max(perSecond[0], 1); shape == Day && (ratio < 3 || perSecond[10] < 300) {
			t.Errorf("shape day: got %v requests in second 0 and %v in second 10, want the peak in the latter",
				perSecond[0], perSecond[10])
		}
	}
}

func TestSettingsValidate(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"rate":    func(s *Settings) { s.Rate = math.NaN() },
		"shape":   func(s *Settings) { s.Shape = "round" },
		"burst":   func(s *Settings) { s.Shape, s.Burst = Bursts, 0 },
		"period":  func(s *Settings) { s.Shape, s.Period = Day, 0 },
		"span":    func(s *Settings) { s.Span = 0 },
		"leave":   func(s *Settings) { s.DisconnectFraction = 2 },
		"retries": func(s *Settings) { s.MaxRetries = -1 },
		"class b": func(s *Settings) { s.Classes[1].ClientTimeout = 0 },
		"tenant":  func(s *Settings) { s.Tenants = nil },
	} {
		s := testSettings(Poisson)
		change(&s)
		if err := s.Validate(); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got error %v, want one with %s", err, want)
		}
	}
}

func TestParseClass(t *testing.T) {
	c, err := ParseClass("a:2:3.5:keyed:1=3:4=1")
	if err != nil || c.Name != "a" || c.Weight != 2 || c.ClientTimeout != 3.5 || !c.HasIdempotencyKey || len(c.Slots) != 2 || c.Slots[1] != (WeightedName{"4", 1}) {
		t.Errorf("got class %+v, error %v", c, err)
	}
	for _, text := range []string{"a", "a:1", "a:x:1", "a:1:x", "a:1:1:wide", "a:1:1:x=1", "a:1:1:0=1", ":1:1", "a:0:1"} {
		if c, err := ParseClass(text); err == nil || !strings.Contains(err.Error(), "class") {
			t.Errorf("%s: got class %+v, error %v, want an error", text, c, err)
		}
	}
}

func TestRetryDelay(t *testing.T) {
	s := testSettings(Even)
	for _, c := range []struct {
		honor                bool
		status, attempts     int
		retryAfter, timeLeft float64
		delay                float64
		retry                bool
	}{{false, 503, 1, 1, 2, 0.1, true}, {true, 503, 1, 1, 2, 1, true}, {true, 503, 1, 3, 2, 3, false}, {true, 429, 2, 0, 2, 0.1, true},
		{true, 503, 3, 1, 9, 0, false}, {true, 200, 1, 0, 9, 0, false}, {false, 504, 1, 0, 9, 0, false}} {
		s.HonorRetryAfter = c.honor
		if delay, retry := s.RetryDelay(c.status, c.attempts, c.retryAfter, c.timeLeft); delay != c.delay ||
			retry != c.retry {
			t.Errorf("%+v: got delay %v, retry %v", c, delay, retry)
		}
	}
}

func TestReadTrace(t *testing.T) {
	list, err := ReadTrace("f", strings.NewReader("{\"at\":0.5,\"class\":\"a\",\"tenant\":\"x\"}\n\n{\"at\":1,\"class\":\"b\",\"slots\":2,\"timeout\":9}\n"))
	if err != nil || len(list) != 2 || list[0].Slots != 1 || list[0].ClientTimeout != 3 || list[1].ClientTimeout != 9 {
		t.Fatalf("got jobs %+v, error %v", list, err)
	}
	for text, want := range map[string]string{"{": "f:1:", "\n{\"at\":1,\"klass\":\"a\"}": "f:2:", "{\"at\":1,\"class\":\"a\"}\n{\"at\":0,\"class\":\"a\"}": "f:2: at",
		"{\"at\":1}": "f:1: class", "{\"at\":1,\"class\":\"a\",\"timeout\":-1}": "f:1: timeout"} {
		if _, err := ReadTrace("f", strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want one with %s", text, err, want)
		}
	}
}

func FuzzReadTrace(f *testing.F) {
	f.Add("{\"at\":1,\"class\":\"a\"}\n{\"at\":2,\"class\":\"b\",\"leaves\":1}")
	f.Add("{\"at\":1e999}")
	f.Fuzz(func(t *testing.T, text string) {
		list, err := ReadTrace("f", strings.NewReader(text))
		for i, j := range list {
			if err != nil || j.Class == "" || i > 0 && j.At < list[i-1].At {
				t.Fatalf("got invalid job %+v, error %v", j, err)
			}
		}
	})
}
