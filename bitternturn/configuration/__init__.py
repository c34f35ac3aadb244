"""Loading, checking, accepting and spreading of configuration."""
