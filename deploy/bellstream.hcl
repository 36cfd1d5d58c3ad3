# The operator's file, with what may stand in it. Start with
#   BELLSTREAM_FILE=deploy/bellstream.hcl bin/bellstream
# and check with
#   bin/bellstream check --config config.json deploy/bellstream.hcl
# Every block may be left out; what it would switch on is off then.

log {
  level  = "info" # debug, info, warn, error
  format = "json" # json, or console for people
}

# Metrics and state for operators: GET /metrics, /peers, /counts.
admin {
  listen = "127.0.0.1:9090"
}

# The cluster: instances that hold tenants' reservations together.
peers {
  cluster = "example"
  # name    = "n1"              # default: the instance's name
  listen = "127.0.0.1:7946" # UDP and TCP
  # advertise = "192.0.2.1:7946" # where others reach it; default: listen
  join = ["127.0.0.1:7946", "127.0.0.1:7947"]
  # key_file = "/etc/bellstream/keys" # a key a line, base64; the first is written with
  period = "250ms" # between rounds of messages
  # region = "north"            # where it stands: homes are spread over regions. The same at all of one
}

counts {
  instances = 2       # that are expected; no fewer than may start at the same time
  homes     = 3       # instances that own a part of a tenant's reservation; 0: all, and all write to all
  staleness = "20s"   # loans of a silent instance end by then; shorter: more messages
  floor     = 0.02    # part of its home that an instance never lends
  forget    = "2m"    # then a silent instance counts as gone; longer than any partition
  delay     = "50ms"  # of a message, one way, at most
  loss      = 0.01    # part of the messages that the network loses
  max_error = 0.25    # of a tenant's share in 10 s; refused if it can't be met
}

# Clients may have jobs wait: Wait-For: ID, ID and Not-Before: UNIXSECONDS.
waiting {
  jobs      = 20000    # at once
  bytes     = 33554432 # of them
  parents   = 32       # of one job
  depth     = 16384    # of a chain
  strangers = 5000     # ids that are waited for and have not come
  grace     = "2s"     # for these to come
  remember  = "60s"    # how jobs ended
  ended     = 100000   # ends remembered at most
}

# Jobs of these classes are sent within the time, or refused as they come. A
# class is named once; it must be one of the platform's configuration.
# ageing {
#   max_wait = "5s"
#   classes  = ["sone-oppslag"]
# }

# Has instances agree on rules, and act on none for longer than stated without the others:
# docs/operators/accord.md, which says how to switch it on. Without the block all of it is off.
# accord {
#   cluster = "example" # the same at all; a file of another cluster's is refused
#   # name    = "n1"    # default: the instance's name. A voter that lost its folder needs a new one
#   listen  = "192.0.2.1:7950" # TCP; an instance that does not vote dials from its address
#   folder  = "/var/lib/bellstream" # of its own, on a disk that lasts: lost, a voter votes no more
#   # 3, 5 or 7: all may vote with one, two or three down. More voters make each version wait for more disks
#   voters  = { n1 = "192.0.2.1:7950", n2 = "192.0.2.2:7950", n3 = "192.0.2.3:7950" } # the same at all, in other racks
#   lease   = "3s"    # longer: rides out longer silence; one cut off acts on old rules, and a change waits for one gone, as long
#   period  = "750ms" # between questions; shorter: changes take less time, and cost more questions. At most a third of the lease
#   delay   = "50ms"  # of a message, one way, with all that it waits for; too small, and leases lapse under load
#   look    = "50ms"  # between two looks of the loop at its lease; longer makes old rules last longer
#   drift   = 0.01    # by which one clock may run faster than another; more makes each wait longer
#   # max_loose = "4s"  # refused if rules could contradict each other for longer; left out: not checked
#   # journal = "/var/log/bellstream/accord.journal" # a line for each change of what is acted on, and each renewed lease
#   # leases  = true    # false: none. Instances contradict each other then; for experiments alone
# }

# Rules that the instances agree on, see docs/operators/accord.md. The block is
# whole: what it leaves out is the platform's. A change of a reservation, an
# effect, a worker out, an instance, a capacity or a placement takes effect in
# three steps, and the narrower of both holds meanwhile; the rest at once.
# rules {
#   based_on  = 0              # the version that was read before writing this
#   attempts  = 3              # for one job
#   out       = ["w3"]         # workers that get nothing
#   instances = ["n1", "n2"]   # that may seat shards
#   tenant "north" {
#     reservation = 30         # as quota_per_s; smaller leaves others more room
#     weight      = 2          # of what reservations leave over
#   }
#   class "sone-oppslag" {
#     effect   = "keyed"       # safe, keyed, unsafe; stricter fails more jobs, looser repeats more
#     scope    = "zone"        # all, zone, cell: who knows a repeat
#     window   = "8s"          # for how long
#     deadline = "9s"
#   }
#   cluster "east" {
#     capacity = 200           # more promises more than its workers may bear
#   }
#   placement "north" {      # needs a clusters block
#     cluster = "east"
#     origin  = "east"         # where its reservation was entered first
#   }
# }

# Tenants' queues stand undivided, each at one instance, see docs/operators/shards.md.
# It needs an accord block, and rules that name instances.
# shards {
#   count     = 64               # more spread better and cost a little more to agree on; fixed once agreed
#   listen    = "127.0.0.1:7500" # TCP, for the other instances
#   instances = { n1 = "127.0.0.1:7500", n2 = "127.0.0.1:7501" }
#   tolerance = 0.1              # of an even spread that moves nothing; less moves more often
#   at_once   = 8                # moves: more end sooner, and more shards wait at a time
#   entries   = 100000           # jobs of one shard; more take more memory, fewer are refused sooner
# }

# Services change clusters, see docs/operators/clusters.md. Needs accord, and
# placements with an origin in the rules of both clusters.
# clusters {
#   self = "east"              # this cluster's name in the rules
#   peer "west" {
#     cluster = "west-accord"  # of its accord block; a wrong one is refused there
#     voters  = { w1 = "10.1.0.1:7950", w2 = "10.1.0.2:7950", w3 = "10.1.0.3:7950" }
#   }
#   at_once = 4                # more moves at once, and each one slower
#   linger  = "30s"            # longer: a settled move can be turned round for longer, and keeps its room here
# }
