"""Roll-outs of service versions: router samples, the verdict on a version, and the schedule of its traffic share."""
