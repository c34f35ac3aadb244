"""Events of one process and their merge over all processes."""
