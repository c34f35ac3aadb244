"""Timeline of events: per-process buffer, merge and rendering."""
