"""A router that takes callers' HTTP and sends it straight to endpoints."""
