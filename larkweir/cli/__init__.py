"""The command line: what a person or a service manager types."""
