"""Messages between routers: formats, sending, and what a router asks at its start."""
