"""The owner's side of a target: queue, limits, connections."""
