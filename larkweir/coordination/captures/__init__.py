"""Captures that agree, as a part of a balancer. Imported where they are on."""
