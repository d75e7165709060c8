"""A lab: what a fleet does, with the real decisions in it. Never imported by the serving process."""
