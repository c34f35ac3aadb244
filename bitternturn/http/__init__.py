"""HTTP/1.1 server and client, based on h11."""
