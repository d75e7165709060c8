"""What the program is told: the platform's file and environment, and the operator file."""
