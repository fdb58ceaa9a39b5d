package settings_test

import (
	"strings"
	"testing"
	"time"

	"fescuehoist.example/adapters/settings"
)

func TestParseObjectStoreSettings(t *testing.T) {
	text := example(t) + `
[calls]
progress = "off"
[retry]
share = 0.1
burst = 56
[hedge]
share = 0.05
[limits]
memory_mb = 284
descriptors = 4100
`
	text = strings.Replace(text, "[platform]", "[platform]\napi = \"objects\"", 1)
	text = strings.Replace(text, "[server]", "[server]\nservice = \"lookup\"", 1)
	s, err := settings.Parse("f", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if s.API != settings.Objects || s.Service != "lookup" || s.ProgressInterval != 0 ||
		s.Retry != (settings.Retry{Share: 0.1, Burst: 56}) || s.Hedge.Share != 0.05 || s.Limits != (settings.Limits{MemoryBytes: 284 << 20, Descriptors: 4100}) {
		t.Errorf("got %+v", s)
	}
}

func TestParseOptionalSettingsDefaults(t *testing.T) {
	s, err := settings.Parse("f", []byte(example(t)))
	if err != nil {
		t.Fatal(err)
	}
	if s.API != settings.Native || s.ProgressInterval != 50*time.Millisecond || s.Retry.Burst != 0 || s.Hedge.Share != 0 || s.FixedSlots {
		t.Errorf("got %+v", s)
	}
}

func TestParseInvalidOptionalSettingFails(t *testing.T) {
	for want, text := range map[string]string{
		"calls.progress: \"soon\"":    "[calls]\nprogress = \"soon\"",
		"retry.share: 1.5":            "[retry]\nshare = 1.5",
		"retry.burst: -1":             "[retry]\nburst = -1.0",
		"hedge.share: 1.01; write":    "[hedge]\nshare = 1.01",
		"hedge.share: -0.1; write":    "[hedge]\nshare = -0.1",
		"hedge.share: has the wro":    "[hedge]\nshare = \"5%\"",
		"hedge.copies: unknown ke":    "[hedge]\ncopies = 2",
		"limits.memory_mb: 3":         "[limits]\nmemory_mb = 3",
		"limits.descriptors: -5":      "[limits]\ndescriptors = -5",
		"limits.size: unknown key":    "[limits]\nsize = 5",
		"retry.share: has the wrong ": "[retry]\nshare = \"half\"",
	} {
		_, err := settings.Parse("f", []byte(example(t)+"\n"+text+"\n"))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %q", err, want)
		}
	}
}
