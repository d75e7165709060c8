"""Roll-outs of service versions: what routers sample, how a version is judged, how its traffic grows."""
