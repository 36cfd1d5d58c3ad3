# A cluster over six regions: what one of its 44 dispatchers (two a zone) is given, here the first one of
# region 1. docs/CAPACITY.md, Placing, has the figures. Check it with: bellstream check deploy/regions.hcl
#
# Seventeen machines are set aside. Five vote: one in each of five regions, so that four are left when any
# region goes, and three that reach each other when any two regions lose each other. (check takes 3, 5
# or 7: seven would put two into one region, and the loss of that one would cost two.) Twelve seat shards, two in
# each region. Neither takes clients. A voter's file is this one with name, listen and folder of its own, and
# no shards block; a seat's has shards.listen too, and names the dispatchers in shards.instances as well: who
# is not named there is refused.

admin {
  listen = "127.0.0.1:7901"
}

accord {
  cluster = "six-regions"
  listen  = "10.1.0.11:7950"
  folder  = "/var/lib/bellstream"
  voters = {
    v1 = "10.1.0.1:7950" # region 1
    v2 = "10.2.0.1:7950"
    v3 = "10.3.0.1:7950"
    v4 = "10.4.0.1:7950"
    v5 = "10.5.0.1:7950" # region 5
  }

  # One way between regions, at most, with a tenth more for what it waits for there. Elections and steps
  # go by it. max_loose has check refuse a lease with which an instance that is cut off acts on old rules
  # for longer than a change may take.
  #  20 ms: lease = "3s"   period = "500ms" delay = "40ms"
  #  80 ms: lease = "3s"   period = "500ms" delay = "100ms"
  # 150 ms: lease = "3.6s" period = "500ms" delay = "170ms"
  lease     = "3s"
  period    = "500ms"
  delay     = "100ms"
  max_loose = "4s"
}

shards {
  count     = 128 # ten times the seats
  listen    = "10.1.0.11:7500"
  tolerance = 0.1
  at_once   = 8
  instances = {
    s1a = "10.1.0.2:7500"
    s1b = "10.1.0.3:7500"
    s2a = "10.2.0.2:7500"
    s2b = "10.2.0.3:7500"
    s3a = "10.3.0.2:7500"
    s3b = "10.3.0.3:7500"
    s4a = "10.4.0.2:7500"
    s4b = "10.4.0.3:7500"
    s5a = "10.5.0.2:7500"
    s5b = "10.5.0.3:7500"
    s6a = "10.6.0.2:7500"
    s6b = "10.6.0.3:7500"
  }
}

rules {
  based_on  = 0
  instances = ["s1a", "s1b", "s2a", "s2b", "s3a", "s3b", "s4a", "s4b", "s5a", "s5b", "s6a", "s6b"]
}
