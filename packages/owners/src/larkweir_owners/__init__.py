"""Hands: the door of the package; what is used is imported by module (`duty`, `keeper_file`, `ports`)."""
