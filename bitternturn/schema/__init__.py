"""Messages and settings; the code beside the .proto files is generated."""
