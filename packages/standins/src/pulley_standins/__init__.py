"""Stand-ins for engines, plain services, the key-value service and instance list."""
