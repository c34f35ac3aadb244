"""Membership of the tier, leases, and ownership of targets."""
