"""Stand-ins that emulate the services around the tier.

The demo, the tests and the benches run the tier against them.
"""
