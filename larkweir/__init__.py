"""larkweir: a load balancer on real sockets, round the decisions of larkweir_balancing."""

VERSION = "0.2.0"
