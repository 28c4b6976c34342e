"""Requests that crash endpoints: keys, probes and verdicts."""
