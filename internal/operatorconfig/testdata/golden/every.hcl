log {
  level  = "warn"
  format = "console"
}

admin {
  listen = "127.0.0.1:9090"
}

peers {
  name      = "n1"
  region    = "north"
  listen    = "127.0.0.1:7946"
  advertise = "192.0.2.1:7947"
  join      = ["127.0.0.1:7948", "127.0.0.1:7949"]
  key_file  = "testdata/golden/keys"
  period    = "300ms"
  cluster   = "example"
}

counts {
  homes     = 2
  staleness = "21s"
  floor     = 0.03
  max_error = 0.26
  forget    = "3m"
  delay     = "51ms"
  loss      = 0.011
  instances = 4
  exchange  = true
}

waiting {
  jobs      = 20001
  bytes     = 33554433
  parents   = 33
  depth     = 16385
  strangers = 5001
  grace     = "2.5s"
  remember  = "61s"
  ended     = 100001
}

ageing {
  max_wait = "5s"
  classes  = ["a", "b"]
}

ageing {
  max_wait = "7s"
  classes  = ["c"]
}

rules {
  based_on   = 6
  attempts   = 3
  out        = ["w3"]
  instances  = ["n1", "n2"]
  list_epoch = 9

  tenant "north" {
    reservation = 30
    weight      = 2
  }

  class "c" {
    aim        = "150ms"
    stretch    = 1.5
    deadline   = "9s"
    worth      = 4
    late_worth = 0.25
    effect     = "keyed"
    scope      = "zone"
    window     = "8s"
  }

  voter "v1" {
    address = "192.0.2.1:7950"
  }

  voter "v2" {
    address = "192.0.2.2:7950"
  }

  voter "v3" {
    address = "192.0.2.3:7950"
  }

  cluster "east" {
    capacity = 200
  }

  cluster "west" {
    capacity = 300
  }

  placement "north" {
    cluster = "west"
    release = true
    origin  = "east"
  }
}

accord {
  cluster = "east-accord"
  name    = "n2"
  listen  = "192.0.2.1:7951"
  folder  = "/var/lib/bellstream"
  voters = {
    v1 = "192.0.2.1:7950"
    v2 = "192.0.2.2:7950"
    v3 = "192.0.2.3:7950"
  }
  lease     = "3.5s"
  period    = "800ms"
  delay     = "45ms"
  look      = "55ms"
  drift     = 0.012
  max_loose = "4s"
  journal   = "/var/log/accord.journal"
  leases    = false
}

shards {
  count  = 64
  listen = "127.0.0.1:7500"
  instances = {
    n1 = "127.0.0.1:7500"
    n2 = "127.0.0.1:7501"
  }
  tolerance = 0.2
  at_once   = 9
  entries   = 100002
}

clusters {
  self = "east"
  peer "west" {
    cluster = "west-accord"
    voters = {
      w1 = "10.1.0.1:7950"
    }
  }
  at_once = 5
  linger  = "31s"
}
