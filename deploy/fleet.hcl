# A fleet for bellstream-lab fleet; see docs/operators/laboratory.md.

seed      = 1
discovery = "127.0.0.1:9200" # where dispatchers ask for the list
mean      = "150ms"          # of a job's work, exponential
repeat_window = "5s"         # how long a zone drops repeats of a keyed job
priorities    = { read = 1 } # of classes in the workers' queues; default 0
# record  = "fleet.jsonl"    # what came to the workers, at the end

worker "large" {
  count = 4
  slots = 8
  zone  = "a"
  kind  = "m2"
  report_delay = "300ms"
  report_noise = 0.1
}

worker "small" {
  count      = 8
  slots      = 4
  zone       = "b"
  kind       = "m1"
  speed      = 0.8
  cold_from  = 0.3
  warm_after = "8s"
}

# Two of them take jobs and say nothing for ten seconds.
fault "silent" {
  workers = ["small-00", "small-01"]
  at      = "20s"
  for     = "10s"
}

# Another program on their machine: half as fast.
fault "neighbour" {
  workers = ["large"]
  factor  = 2
  at      = "40s"
  for     = "20s"
}

# Then all small ones are deployed, one after the other.
fault "deploy" {
  workers = ["small"]
  at      = "70s"
  drain   = "3s"
}
