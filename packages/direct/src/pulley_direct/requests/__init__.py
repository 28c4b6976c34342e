"""Requests of callers: admission, attempts, answers, retries and resumptions."""
