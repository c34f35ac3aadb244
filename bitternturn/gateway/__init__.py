"""Gateway: routes requests and sends them directly to targets."""
