"""Who belongs to the tier, leases, and who owns which target."""
