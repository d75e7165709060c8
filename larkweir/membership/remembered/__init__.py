"""A list held over from before, and how far each line of it is trusted."""
