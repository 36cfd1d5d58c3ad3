# Doors and faults for bellstream-fault; see docs/operators/laboratory.md.

seed  = 7                   # of all that is drawn
admin = "127.0.0.1:9901"    # for commands; leave it out for none

door "worker-1" {
  listen = "127.0.0.1:9101" # where the dispatcher connects
  target = "127.0.0.1:8101" # the zone worker
}

door "gossip" {
  listen  = "127.0.0.1:9102"
  target  = "127.0.0.1:8102"
  network = "udp"
}

# From 5 s to 25 s the worker takes requests and answers nothing.
fault "silence" {
  doors = ["worker-1"]
  side  = "answer"
  at    = "5s"
  for   = "20s"
}

# Then a byte in the data of each connection's second chunk is another.
fault "garble" {
  doors = ["worker-1"]
  side  = "answer"
  at    = "30s"
  for   = "10s"
  after = "data"
  nth   = 2
}

fault "loss" {
  doors = ["gossip"]
  loss  = 0.1
}
