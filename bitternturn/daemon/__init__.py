"""Daemon that builds and runs the components of one instance."""
