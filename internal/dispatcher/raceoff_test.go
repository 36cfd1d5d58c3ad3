//go:build !race

package dispatcher

const raced = false
