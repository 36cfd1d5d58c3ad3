package operatorconfig

import (
	"encoding/base64"
	"fmt"
	"os"
	"strings"
)

// Keys reads a key file, which has one key of 16, 24 or 32 bytes per line, in
// base64. The first key is used to encrypt, all keys to decrypt. Empty lines and
// comment lines (#) are skipped. Errors never contain any part of a key.
func Keys(path string) (keys [][]byte, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	for i, line := range strings.Split(string(raw), "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if err != nil || len(key) != 16 && len(key) != 24 && len(key) != 32 {
			return nil, fmt.Errorf("%s:%d: not a key of 16, 24 or 32 bytes in base64", path, i+1)
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, fmt.Errorf("%s:1: no key", path)
	}
	return keys, nil
}
