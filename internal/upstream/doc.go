// Package upstream sends attempts and health checks to the zone's workers, over a pool of connections that
// both reuse.
package upstream
