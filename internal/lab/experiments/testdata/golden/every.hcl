seed          = 2
discovery     = "127.0.0.1:9200"
mean          = "151ms"
record        = "fleet.jsonl"
repeat_window = "5s"
priorities    = { read = 1, write = 2 }

worker "large" {
  count        = 4
  slots        = 8
  queue        = 9
  zone         = "a"
  kind         = "m2"
  speed        = 0.8
  cold_from    = 0.3
  warm_after   = "7s"
  suspends     = true
  report_delay = "300ms"
  report_noise = 0.1
}

worker "small" {
}

fault "heavy_tail" {
  workers = ["large", "small-00"]
  at      = "20s"
  for     = "10s"
  part    = 0.25
  factor  = 3
  free    = 6
  drain   = "4s"
}

fault "errors" {
}
