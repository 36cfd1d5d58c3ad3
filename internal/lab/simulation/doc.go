// Package simulation runs clusters of instances, fleets of workers, long tasks, the agreement on config
// versions and the migration of services in virtual time. The decisions are the product's own code; network,
// disks, workers and clients are modelled. All random numbers derive from a seed: the same seed gives the
// same run. Tests and the experiments use the package; the product does not.
package simulation
