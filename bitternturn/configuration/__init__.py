"""Loading, validation, acceptance and distribution of configuration."""
