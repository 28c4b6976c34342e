"""Endpoints: which of them take work, which one a request goes to, and outcomes."""
