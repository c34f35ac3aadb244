"""Owner of a target: queue, limits and connections."""
