"""The daemon that joins all parts of one instance."""
