"""larkweir: a load balancer on real sockets, round the decisions of mulleinhitch."""

VERSION = "0.2.0"
