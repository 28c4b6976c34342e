"""A router that takes callers' HTTP requests and sends them straight to endpoints."""
