package settings

import (
	"os"
	"reflect"
	"strings"
	"testing"
)

func TestSettingsPageDocumentsEveryKey(t *testing.T) {
	page, err := os.ReadFile("../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	file := reflect.TypeFor[fileTOML]()
	for i := range file.NumField() {
		table := file.Field(i)
		for j := range table.Type.NumField() {
			key := "`" + table.Tag.Get("toml") + "." + table.Type.Field(j).Tag.Get("toml") + "`"
			if !strings.Contains(string(page), key) {
				t.Errorf("docs/settings.md does not document %s", key)
			}
		}
	}
}
