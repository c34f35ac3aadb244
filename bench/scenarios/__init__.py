"""One module for each bench."""
