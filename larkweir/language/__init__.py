"""The configuration language: grammar, checker, formatter, and what a change comes to. Off without a file of it."""
