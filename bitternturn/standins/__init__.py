"""Small stand-ins for what surrounds the tier; for demo, tests and bench."""
