"""Requests written to endpoints, and waits for their bytes."""
