"""The router and the operators' commands."""
