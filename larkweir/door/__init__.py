"""Load shedding before requests are read, for when this process is itself the bottleneck."""
