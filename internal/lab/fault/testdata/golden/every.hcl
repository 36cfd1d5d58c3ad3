seed  = 7
admin = "127.0.0.1:9901"
log   = "/var/log/fault.jsonl"

door "worker-1" {
  listen = "127.0.0.1:9101"
  target = "127.0.0.1:8101"
}

door "gossip" {
  listen  = "127.0.0.1:9102"
  target  = "127.0.0.1:8102"
  network = "udp"
}

fault "delay" {
  doors  = ["worker-1", "gossip"]
  side   = "request"
  at     = "1s"
  for    = "2s"
  part   = 0.25
  delay  = "50ms"
  jitter = "20ms"
}

fault "rate" {
  doors = ["worker-1"]
  side  = "both"
  rate  = 1000
}

fault "loss" {
  doors = ["gossip"]
  loss  = 0.1
}

fault "cut" {
  doors = ["worker-1"]
  side  = "answer"
  byte  = 512
}

fault "reset" {
  doors = ["worker-1"]
  after = "data"
  nth   = 3
}

fault "half_close" {
  doors = ["worker-1"]
  after = "text"
  text  = "HTTP/1.1"
}

fault "silence" {
  doors = ["worker-1"]
  after = "head"
}

fault "garble" {
  doors = ["worker-1"]
  after = "chunk"
}

fault "mute" {
  doors = ["worker-1"]
}

fault "refuse" {
  doors = ["worker-1"]
}
